//! Clients: accepts connections, reads and checks requests, and gives each exactly one final response.
//!
//! The way of one request, from the accept to the final response:
//!
//! 1. `listener` accepts the connection within the `socket_limits` and adds it to the `connection_table`, by which
//!    connections are evicted when sockets run short, and closed after their time-outs.
//! 2. `connection` serves it: hyper reads and writes its `client_socket`, whose state is the `client`. The
//!    `write_watchdog` notices a client that takes nothing of its response.
//! 3. `service` is called for each request once its head is `received`. It rejects the request if too many are in
//!    flight.
//! 4. `admission` checks the head, a chunked request's by its `raw_head` too, and `body` receives the body, completely
//!    or up to what is buffered.
//! 5. `forward` submits the request to the driver, waits for the final answer while the rest of a streamed body is
//!    received, and notifies the driver if the client disconnects first (`cancellation`).
//! 6. `response` turns the answer into the client's response. The request ends with it, or with the last byte of a
//!    streamed response.
//!
//! A connection that is closed while its client may still be sending goes through `linger`. `shutdown` ends the process
//! without losing a request.

mod admission;
mod body;
mod cancellation;
mod client;
mod client_socket;
mod connection;
mod connection_table;
mod forward;
mod forwarded_head;
mod linger;
mod listener;
mod raw_head;
mod received;
mod response;
mod service;
mod shutdown;
mod socket_limits;
mod write_watchdog;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

pub use listener::listen;
pub use socket_limits::SocketLimits;

use crate::access_record::AccessSampler;
use crate::classes::Classes;
use crate::close_reason::ClientClose;
use crate::inbox::Inbox;
use crate::metrics::Metrics;
use crate::open_ids::OpenRequestIds;
use crate::upstream::UpstreamPool;
use client::{Client, Stage};
use connection_table::{ConnectionTable, MIN_IDLE_TIME};

/// Longest head. Large enough for any client of the protocol, small enough for all connections at once.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// A request must be complete this long after its first byte, the first one this long after its connection was
/// accepted: a client that sends no complete request must get an error or a close within 3 s. A body that is sent fast
/// enough may take longer.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2400);
/// An idle connection is closed after this time: some clients send one request and keep their connection for good.
const MAX_IDLE_TIME: Duration = Duration::from_secs(15);
/// Interval between searches for connections whose time-out has passed.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);

/// What a frontend shares with other parts of the proxy.
pub struct FrontendParts {
    /// Where requests are submitted.
    pub inbox: Inbox,
    /// The classes of requests.
    pub classes: Rc<RefCell<Classes>>,
    /// For the sockets and the memory that both sides share.
    pub upstreams: Rc<UpstreamPool>,
    /// The limit on sockets.
    pub limits: SocketLimits,
    /// Where requests and connections are counted.
    pub metrics: Arc<Metrics>,
    /// Whether the operators have taken the proxy out of service.
    pub drained: Rc<Cell<bool>>,
    /// The fraction of requests that leave an access event.
    pub access_rate: Rc<Cell<f64>>,
}

/// What all connections of clients share.
pub struct Frontend {
    inbox: Inbox,
    classes: Rc<RefCell<Classes>>,
    upstreams: Rc<UpstreamPool>,
    limits: SocketLimits,
    metrics: Arc<Metrics>,
    access_sampler: AccessSampler,
    next_number: Cell<u64>,
    /// The operators have taken the proxy out of service.
    drained: Rc<Cell<bool>>,
    /// The process ends.
    stopping: Cell<bool>,
    connections: ConnectionTable,
    /// When the accept queue was last seen empty.
    queue_empty_at: Cell<Instant>,
    open_ids: OpenRequestIds,
    /// Notified when a connection has closed, and while the process ends when one changes its stage.
    changed: Notify,
}

impl Frontend {
    /// A frontend without connections.
    pub fn new(parts: FrontendParts) -> Rc<Self> {
        Rc::new(Frontend {
            inbox: parts.inbox,
            classes: parts.classes,
            upstreams: parts.upstreams,
            limits: parts.limits,
            metrics: parts.metrics,
            access_sampler: AccessSampler::new(parts.access_rate),
            next_number: Cell::new(0),
            drained: parts.drained,
            stopping: Cell::new(false),
            connections: ConnectionTable::default(),
            queue_empty_at: Cell::new(Instant::now()),
            open_ids: OpenRequestIds::default(),
            changed: Notify::new(),
        })
    }

    /// Accepts and serves connections until `stop`, then finishes the requests that have been accepted.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, stop: impl Future<Output = ()>) {
        tokio::task::spawn_local(self.clone().close_expired_periodically());
        tokio::pin!(stop);
        loop {
            tokio::select! {
                biased;
                () = &mut stop => break,
                () = self.clone().accept(&listener) => {}
            }
        }
        self.shut_down(listener).await;
    }

    async fn close_expired_periodically(self: Rc<Self>) {
        loop {
            sleep(EXPIRY_INTERVAL).await;
            self.close_expired();
        }
    }

    /// Asks the connections whose time-out has passed to close.
    fn close_expired(&self) {
        self.metrics.connected(self.connections.open(), self.upstreams.sockets_in_use());
        let now = Instant::now();
        self.connections.close_overdue(now);
        if self.draining() {
            self.connections.close_idle(now, MIN_IDLE_TIME, ClientClose::Drained);
        } else {
            self.connections.close_idle(now, MAX_IDLE_TIME, ClientClose::Idle);
        }
    }

    /// Moves a connection to another stage.
    fn set_stage(&self, client: &Rc<Client>, stage: Stage) {
        self.connections.set_stage(client, stage, self.next_number());
        if self.stopping.get() {
            self.changed.notify_waiters();
        }
    }

    /// Whether responses ask clients to close their connections.
    fn draining(&self) -> bool {
        self.drained.get() || self.stopping.get()
    }

    /// A number that no other request or stage of this process has.
    fn next_number(&self) -> u64 {
        self.next_number.replace(self.next_number.get() + 1)
    }
}
