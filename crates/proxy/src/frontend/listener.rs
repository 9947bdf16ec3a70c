//! Accepts connections within the budget of sockets.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{Instant, sleep, timeout};
use tracing::{debug, warn};

use super::Frontend;
use super::budget::BACKEND_SHARE;
use super::client::{Client, Stage};

/// Length of the accept queue.
const BACKLOG: u32 = 1024;
/// If no connection can be evicted, new ones wait in the accept queue for this long, then they are turned away.
const MAX_QUEUE_TIME: Duration = Duration::from_millis(100);
/// Wait after a failed accept, so that the loop does not spin, and for an evicted connection to close.
const PAUSE: Duration = Duration::from_millis(10);

/// Listens on the address for clients.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?; // a restart finds old connections in TIME_WAIT
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

impl Frontend {
    /// Accepts one connection and serves it in a task of its own. At the limit it makes room instead.
    pub(super) async fn accept(self: Rc<Self>, listener: &TcpListener) {
        let limit = self.max_connections();
        if self.connections.get() >= limit {
            return self.make_room(listener).await;
        }
        match self.next_connection(listener).await {
            Ok((stream, address)) => {
                if self.connections.get() >= limit * 7 / 8 {
                    self.evict_one(false);
                }
                self.spawn(stream, address);
            }
            // The client has given up, or nothing was accepted: nothing lacks here.
            Err(error) if matches!(error.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {}
            // Out of descriptors or the like: make room, wait a moment, go on.
            Err(error) => {
                warn!(%error, "accept failed");
                self.upstreams.evict_idle();
                self.evict_one(false);
                sleep(PAUSE).await;
            }
        }
    }

    /// Connections of clients that may be open: the budget without the backends' share. While another process shares
    /// the budget, older connections to backends may exceed that share.
    fn max_connections(&self) -> usize {
        let budget = self.budget.now();
        budget.saturating_sub(self.upstreams.in_use().max(budget / BACKEND_SHARE))
    }

    /// At the limit one connection closes for each new one. If none can, the next new one waits a little. Left to
    /// wait for longer, all in the accept queue would age until their answers are too late; so they are turned away.
    async fn make_room(&self, listener: &TcpListener) {
        let queue_is_old = self.queue_empty_at.get().elapsed() >= MAX_QUEUE_TIME;
        if self.evict_one(queue_is_old) || !queue_is_old {
            let _ = timeout(PAUSE, self.changed.notified()).await;
            return;
        }
        match timeout(Duration::ZERO, listener.accept()).await {
            Ok(Ok(turned_away)) => drop(turned_away),
            Ok(Err(_)) => sleep(PAUSE).await,
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

    /// Counts and tells why a connection has been closed.
    fn note_closed(&self, client: &Client) {
        let reason = client.close_reason();
        self.metrics.client_closed(reason);
        debug!(client = %client.address, reason = reason.name(), "a client's connection is closed");
    }

    fn spawn(self: Rc<Self>, stream: TcpStream, address: SocketAddr) {
        let _ = stream.set_nodelay(true); // slower without, no worse
        let client = Rc::new(Client::new(stream, address.ip(), self.queue_empty_at.get()));
        self.connections.set(self.connections.get() + 1);
        self.in_flight.set(self.in_flight.get() + 1); // the stage of a client to begin with
        self.set_stage(&client, Stage::New);
        tokio::task::spawn_local(async move {
            self.serve_connection(&client).await;
            self.note_closed(&client);
            self.set_stage(&client, Stage::InFlight);
            self.in_flight.set(self.in_flight.get() - 1);
            self.connections.set(self.connections.get() - 1);
            self.changed.notify_waiters();
        });
    }
}
