//! Accepts connections within the limit on sockets.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{Instant, sleep, timeout};
use tracing::{debug, warn};

use super::Frontend;
use super::client::{Client, Stage};
use super::connection_table::EvictionAge;

/// Length of the accept queue.
const BACKLOG: u32 = 1024;
/// If no connection can be evicted, new ones wait in the accept queue for this long, then they are rejected.
const MAX_QUEUE_TIME: Duration = Duration::from_millis(100);
/// Wait after a failed accept, so that the loop does not spin, and for an evicted connection to close.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// From this part of the limit on, as a fraction, one connection is evicted for each that is accepted.
const EVICTION_NUMERATOR: usize = 7;
const EVICTION_DENOMINATOR: usize = 8;

/// Listens on the address for clients.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?; // a restart finds old connections in TIME_WAIT
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

impl Frontend {
    /// Accepts one connection and serves it in a task of its own. At the limit it evicts or rejects one instead.
    pub(super) async fn accept(self: Rc<Self>, listener: &TcpListener) {
        let limit = self.limits.max_clients(self.upstreams.sockets_in_use());
        if self.connections.open() >= limit {
            return self.accept_at_limit(listener).await;
        }
        match self.next_connection(listener).await {
            Ok((stream, address)) => {
                if self.connections.open() >= limit * EVICTION_NUMERATOR / EVICTION_DENOMINATOR {
                    self.connections.evict_one(EvictionAge::SpareYoung);
                }
                self.spawn(stream, address);
            }
            Err(error) => self.recover_from_failed_accept(&error).await,
        }
    }

    /// After a local error, such as a lack of descriptors, closes a connection on each side and waits a moment.
    async fn recover_from_failed_accept(&self, error: &io::Error) {
        // The client has given up, or nothing was accepted: this machine lacks nothing.
        if matches!(error.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) {
            return;
        }
        warn!(%error, "accept failed");
        self.upstreams.evict_longest_idle();
        self.connections.evict_one(EvictionAge::SpareYoung);
        sleep(ACCEPT_RETRY_DELAY).await;
    }

    /// At the limit one connection is evicted for each new one. If none can be, the next new one waits a little. Left
    /// to wait for longer, all in the accept queue would age until their responses are too late; so they are rejected.
    async fn accept_at_limit(&self, listener: &TcpListener) {
        let queue_is_old = self.queue_empty_at.get().elapsed() >= MAX_QUEUE_TIME;
        let age = if queue_is_old { EvictionAge::AnyWithoutRequest } else { EvictionAge::SpareYoung };
        if self.connections.evict_one(age) || !queue_is_old {
            let _ = timeout(ACCEPT_RETRY_DELAY, self.changed.notified()).await;
            return;
        }
        match timeout(Duration::ZERO, listener.accept()).await {
            Ok(Ok(rejected)) => drop(rejected),
            Ok(Err(_)) => sleep(ACCEPT_RETRY_DELAY).await,
            Err(_) => self.queue_empty_at.set(Instant::now()),
        }
    }

    /// The next connection of the accept queue. If there was none at once, the queue was empty until this one came.
    async fn next_connection(&self, listener: &TcpListener) -> io::Result<(TcpStream, SocketAddr)> {
        tokio::select! {
            biased;
            next = listener.accept() => next,
            () = std::future::ready(()) => {
                let next = listener.accept().await;
                self.queue_empty_at.set(Instant::now());
                next
            }
        }
    }

    fn spawn(self: Rc<Self>, stream: TcpStream, address: SocketAddr) {
        let _ = stream.set_nodelay(true); // slower without, no worse
        let client = Rc::new(Client::new(stream, address.ip(), self.queue_empty_at.get()));
        self.connections.add();
        self.set_stage(&client, Stage::New);
        tokio::task::spawn_local(async move {
            self.serve_connection(&client).await;
            self.record_closed(&client);
            self.set_stage(&client, Stage::InFlight);
            self.connections.remove();
            self.changed.notify_waiters();
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
