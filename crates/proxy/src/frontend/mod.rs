//! The client side of the proxy: accepts connections, reads and checks requests, and sends exactly one final response
//! to each.
//!
//! Modules in the order in which a request passes through them:
//!
//! 1. `listener` accepts the connection within the limits on sockets and adds it to the `connection_table`. The table
//!    selects the connections to evict when sockets run short and to close when their timeouts have passed.
//! 2. `connection` serves the connection: hyper reads and writes its `client_socket`, and `client` holds its state. The
//!    `write_watchdog` detects a client that reads nothing of its streamed response.
//! 3. `service` is called for each request whose head has been read, and `received` determines when the head arrived.
//!    The service rejects the request if too many requests are in flight.
//! 4. `admission` checks the head, and for a chunked request the `raw_head` too. `body` receives the body, either
//!    completely or up to the limit for buffered bodies.
//! 5. `forward` submits the request to the driver, with its head changed by `forwarded_head`, and waits for the final
//!    response while the rest of a streamed body is received. `cancellation` notifies the driver if the client
//!    disconnects first.
//! 6. `response` converts the final response to the HTTP response to the client. The request ends at that point, or
//!    with the last byte of a streamed response. `live_count` counts those that are being passed on.
//!
//! `linger` closes a connection whose client may still be sending. `shutdown` finishes the accepted requests before the
//! process ends.

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
mod live_count;
mod raw_head;
mod received;
mod response;
mod service;
mod shutdown;
mod write_watchdog;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

pub use listener::listen;

use crate::access_record::AccessSampler;
use crate::classes::Classes;
use crate::close_reason::ClientCloseReason;
use crate::handover::Handover;
use crate::inbox::Inbox;
use crate::memory::ProcessMemory;
use crate::metrics::Metrics;
use crate::open_ids::OpenRequestIds;
use crate::sockets::Sockets;
use crate::upstream::UpstreamPool;
use client::{Client, Stage};
use connection_table::{ConnectionTable, MIN_IDLE_TIME};
use live_count::LiveCount;

/// Time within which a request has to arrive completely: from its first byte on, or from the accept of the connection
/// for the connection's first request. A client that sends no complete request has to get an error response or a close
/// within 3 s. A body that is sent fast enough may take longer.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2400);
/// Time after which an idle connection is closed. Some clients send one request and never close their connection.
const MAX_IDLE_TIME: Duration = Duration::from_secs(15);
/// Interval between checks for connections whose timeout has passed.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);
/// Time within which another process of this proxy learns of this one and claims the ids of its open requests.
const CLAIM_TIME: Duration = Duration::from_millis(250);

/// The components from which a [`Frontend`] is built, most of which it shares with other parts of the proxy.
pub struct FrontendParts {
    /// The inbox of the driver, to which requests are submitted.
    pub inbox: Inbox,
    /// The configured request classes.
    pub classes: Rc<RefCell<Classes>>,
    /// The upstream pool, for idle connections whose descriptors are needed.
    pub upstreams: Rc<UpstreamPool>,
    /// The sockets of both sides.
    pub sockets: Rc<Sockets>,
    /// The memory of the process.
    pub memory: Rc<ProcessMemory>,
    /// The handover state; `None` if handover is not configured.
    pub handover: Option<Rc<Handover>>,
    /// The metrics that count requests and connections.
    pub metrics: Arc<Metrics>,
    /// Whether an operator has taken the proxy out of service.
    pub drained: Rc<Cell<bool>>,
    /// The fraction of requests for which an access event is logged.
    pub access_rate: Rc<Cell<f64>>,
}

/// The client side of the proxy: the state that all client connections share.
pub struct Frontend {
    inbox: Inbox,
    classes: Rc<RefCell<Classes>>,
    upstreams: Rc<UpstreamPool>,
    memory: Rc<ProcessMemory>,
    sockets: Rc<Sockets>,
    handover: Option<Rc<Handover>>,
    metrics: Arc<Metrics>,
    access_sampler: AccessSampler,
    next_number: Cell<u64>,
    /// Whether an operator has taken the proxy out of service.
    drained: Rc<Cell<bool>>,
    /// Whether the process is shutting down.
    is_shutting_down: Cell<bool>,
    connections: ConnectionTable,
    /// The responses that are being streamed to clients.
    streamed_responses: LiveCount,
    /// The connections that have buffers.
    served_connections: LiveCount,
    /// When the accept queue was last seen empty.
    accept_queue_empty_at: Cell<Instant>,
    open_ids: OpenRequestIds,
    /// Notified when a connection has closed and, during shutdown, when a connection changes its stage.
    connections_changed: Notify,
}

impl Frontend {
    /// Creates a frontend without connections.
    pub fn new(parts: FrontendParts) -> Rc<Self> {
        let id_claims = parts.handover.as_ref().map(|handover| handover.id_claims());
        let frontend = Rc::new(Frontend {
            inbox: parts.inbox,
            classes: parts.classes,
            upstreams: parts.upstreams,
            memory: parts.memory,
            sockets: parts.sockets,
            handover: parts.handover,
            metrics: parts.metrics,
            access_sampler: AccessSampler::new(parts.access_rate),
            next_number: Cell::new(0),
            drained: parts.drained,
            is_shutting_down: Cell::new(false),
            connections: ConnectionTable::default(),
            streamed_responses: LiveCount::default(),
            served_connections: LiveCount::default(),
            accept_queue_empty_at: Cell::new(Instant::now()),
            open_ids: OpenRequestIds::new(id_claims),
            connections_changed: Notify::new(),
        });
        frontend.share_open_ids();
        frontend
    }

    /// Accepts and serves connections until `stop` completes, then finishes the accepted requests.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, stop: impl Future<Output = ()>) {
        tokio::task::spawn_local(self.clone().close_expired_periodically());
        tokio::pin!(stop);
        tokio::select! {
            biased;
            () = &mut stop => return self.shut_down(listener).await,
            () = self.other_process_has_claimed() => {}
        }
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
            self.share_open_ids();
        }
    }

    /// Whether another process of this proxy runs, which may have requests open.
    fn has_other_process(&self) -> bool {
        self.handover.as_ref().is_some_and(|handover| handover.has_other_process())
    }

    /// Claims the ids of open requests while another process of this proxy runs.
    fn share_open_ids(&self) {
        self.open_ids.set_shared(self.has_other_process());
    }

    /// Waits until another process, if one runs, has claimed the ids of the requests that it had open when this one started.
    /// Until then it accepts all connections.
    async fn other_process_has_claimed(&self) {
        if self.has_other_process() {
            sleep(CLAIM_TIME).await;
        }
    }

    /// Updates the connection metrics, requests the close of all connections whose timeout has passed, and returns the
    /// memory of those that have closed.
    fn close_expired(&self) {
        self.metrics.set_open_connections(self.sockets.clients(), self.sockets.backends());
        self.memory.return_freed(self.sockets.clients() + self.sockets.backends());
        let now = Instant::now();
        self.connections.close_overdue(now);
        if self.is_draining() {
            self.connections.close_idle(now, MIN_IDLE_TIME, ClientCloseReason::Drained);
        } else {
            self.connections.close_idle(now, MAX_IDLE_TIME, ClientCloseReason::Idle);
        }
    }

    /// Moves a connection to another stage, and notifies a shutdown in progress.
    fn set_stage(&self, client: &Rc<Client>, stage: Stage) {
        self.connections.set_stage(client, stage, self.next_number());
        if self.is_shutting_down.get() {
            self.connections_changed.notify_waiters();
        }
    }

    /// Whether responses carry `Connection: close`, because an operator drains the proxy or the process is shutting
    /// down.
    fn is_draining(&self) -> bool {
        self.drained.get() || self.is_shutting_down.get()
    }

    /// Returns a number that is greater than all before. It identifies a request, or orders a change of stage.
    fn next_number(&self) -> u64 {
        self.next_number.replace(self.next_number.get() + 1)
    }
}
