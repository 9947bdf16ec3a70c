//! Accepts connections and keeps their number within the limit on sockets.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{Instant, sleep, timeout};
use tracing::{debug, warn};

use super::Frontend;
use super::client::{Client, Stage};
use super::connection_table::EvictionPolicy;

/// Maximum length of the accept queue, in connections.
const BACKLOG: u32 = 1024;
/// Time for which new connections wait in the accept queue while no connection can be evicted. After that, open
/// connections that are lingering or have sent nothing yet are evicted at any age. If there are none, the connections
/// in the accept queue are rejected.
const MAX_QUEUE_TIME: Duration = Duration::from_millis(100);
/// Delay after a failed accept, which keeps the accept loop from spinning, and longest wait for an evicted connection
/// to close.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Numerator of the fraction of the limit from which on one connection is evicted for each accepted connection.
const EVICTION_NUMERATOR: usize = 7;
/// Denominator of that fraction.
const EVICTION_DENOMINATOR: usize = 8;

/// Binds a socket to the address and listens for clients.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?; // otherwise connections in TIME_WAIT would block a restart
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

impl Frontend {
    /// Accepts one connection and serves it in a separate task. At the limit on connections, evicts or rejects one
    /// instead.
    pub(super) async fn accept(self: Rc<Self>, listener: &TcpListener) {
        let limit = self.sockets.max_clients();
        if self.sockets.clients() >= limit {
            return self.accept_at_limit(listener).await;
        }
        match self.next_connection(listener).await {
            Ok((stream, address)) => {
                if self.sockets.clients() >= limit * EVICTION_NUMERATOR / EVICTION_DENOMINATOR {
                    self.connections.evict_one(EvictionPolicy::SpareRecent);
                }
                self.spawn_connection(stream, address);
            }
            Err(error) => self.recover_from_failed_accept(&error).await,
        }
    }

    /// Handles a failed accept. After a local error, such as a lack of file descriptors, closes one idle backend
    /// connection and evicts one client connection, then waits for a moment.
    async fn recover_from_failed_accept(&self, error: &io::Error) {
        // The client has closed the connection or a signal interrupted the call: no local resource is short.
        if matches!(error.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) {
            return;
        }
        warn!(%error, "accept failed");
        self.upstreams.evict_longest_idle();
        self.connections.evict_one(EvictionPolicy::SpareRecent);
        sleep(ACCEPT_RETRY_DELAY).await;
    }

    /// Makes room for a new connection at the limit by evicting one. If none can be evicted, new connections first wait
    /// in the accept queue, and after [`MAX_QUEUE_TIME`] they are rejected: if they waited for longer, every connection
    /// in the queue would become so old that its response would be too late.
    async fn accept_at_limit(&self, listener: &TcpListener) {
        let queue_is_old = self.accept_queue_empty_at.get().elapsed() >= MAX_QUEUE_TIME;
        let policy =
            if queue_is_old { EvictionPolicy::SpareRecentIdleOrReading } else { EvictionPolicy::SpareRecent };
        if self.connections.evict_one(policy) || !queue_is_old {
            let _ = timeout(ACCEPT_RETRY_DELAY, self.connections_changed.notified()).await;
            return;
        }
        match timeout(Duration::ZERO, listener.accept()).await {
            Ok(Ok(rejected)) => drop(rejected),
            Ok(Err(_)) => sleep(ACCEPT_RETRY_DELAY).await,
            Err(_) => self.accept_queue_empty_at.set(Instant::now()),
        }
    }

    /// Accepts the next connection. If none is available at once, the accept queue was empty until this one arrived,
    /// and that time is recorded.
    async fn next_connection(&self, listener: &TcpListener) -> io::Result<(TcpStream, SocketAddr)> {
        tokio::select! {
            biased;
            next = listener.accept() => next,
            () = std::future::ready(()) => {
                let next = listener.accept().await;
                self.accept_queue_empty_at.set(Instant::now());
                next
            }
        }
    }

    /// Adds a connection to the table and serves it in a new task.
    fn spawn_connection(self: Rc<Self>, stream: TcpStream, address: SocketAddr) {
        let _ = stream.set_nodelay(true); // on failure, small responses are only slower
        let client = Rc::new(Client::new(stream, address.ip(), self.accept_queue_empty_at.get()));
        let socket = self.sockets.add_client();
        self.connections.add();
        self.set_stage(&client, Stage::New);
        tokio::task::spawn_local(async move {
            self.serve_connection(&client).await;
            client.write_watchdog.stop();
            self.record_closed(&client);
            self.set_stage(&client, Stage::InFlight);
            self.connections.remove();
            drop((client, socket));
            self.connections_changed.notify_waiters();
        });
    }

    /// Counts and logs why a connection has been closed.
    fn record_closed(&self, client: &Client) {
        let reason = client.close_reason();
        self.metrics.client_closed(reason);
        debug!(
            client = %client.address,
            reason = reason.name(),
            age_ms = client.accepted_at.elapsed().as_millis() as u64,
            last_read_ms = client.last_read.get().elapsed().as_millis() as u64,
            "client connection closed"
        );
    }
}
