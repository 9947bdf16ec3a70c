//! The state of one client's connection.

use std::cell::{Cell, RefCell};
use std::net::IpAddr;
use std::pin::pin;
use std::rc::Rc;
use std::task::{Context, Waker};

use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::unconstrained;
use tokio::time::Instant;

use super::REQUEST_TIMEOUT;
use super::write_watchdog::WriteWatchdog;
use crate::close_reason::ClientClose;
use crate::socket::has_ended;

/// What a connection is doing. The order is the one in which connections are evicted.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Stage {
    /// Rejected; what the client still sends is read and dropped.
    Lingering,
    /// The client has sent nothing yet.
    New,
    /// Between requests.
    Idle,
    /// A part of a head has arrived.
    ReadingHead,
    /// A request is in flight. Such connections are never evicted.
    InFlight,
}

/// One client's connection.
pub(super) struct Client {
    pub(super) stream: Rc<TcpStream>,
    pub(super) stage: Cell<Stage>,
    /// Its position among the connections of its stage, oldest first.
    pub(super) stage_order: Cell<u64>,
    pub(super) stage_since: Cell<Instant>,
    /// When its next request has to be complete.
    pub(super) request_deadline: Cell<Instant>,
    pub(super) accepted_at: Instant,
    pub(super) address: IpAddr,
    /// The earliest time at which it may have entered the accept queue.
    pub(super) queued_since: Instant,
    /// No request has been read on it yet.
    pub(super) awaits_first_request: Cell<bool>,
    /// When bytes were last read from it.
    pub(super) last_read: Cell<Instant>,
    /// The client has closed its sending side.
    pub(super) read_closed: Cell<bool>,
    /// Its next response closes the connection.
    pub(super) closes_with_response: Cell<bool>,
    /// The connection has been closed between two requests.
    pub(super) closed_while_idle: Cell<bool>,
    /// When the first byte of the head being read was read; line breaks before a head are no part of it.
    pub(super) head_started_at: Cell<Instant>,
    /// The raw bytes of the head being read, without what was read before its connection was idle.
    pub(super) raw_head: RefCell<Vec<u8>>,
    /// The body of its latest request has been received to its end, if it has one.
    pub(super) body_ended: Rc<Cell<bool>>,
    /// Notices that it takes nothing of a streamed response.
    pub(super) write_watchdog: WriteWatchdog,
    /// Asks the connection's task to close it.
    close: Notify,
    /// Why it is closed, once that is known.
    close_reason: Cell<Option<ClientClose>>,
}

/// The client has disconnected before its request was answered.
#[derive(Debug, thiserror::Error)]
#[error("client disconnected")]
pub(super) struct ClientDisconnected;

impl Client {
    /// The client of a connection accepted now, which has not been in the accept queue before `queued_since`.
    pub(super) fn new(stream: TcpStream, address: IpAddr, queued_since: Instant) -> Self {
        let now = Instant::now();
        Client {
            stream: Rc::new(stream),
            stage: Cell::new(Stage::InFlight),
            stage_order: Cell::new(0),
            stage_since: Cell::new(now),
            request_deadline: Cell::new(now + REQUEST_TIMEOUT),
            accepted_at: now,
            address,
            queued_since,
            awaits_first_request: Cell::new(true),
            last_read: Cell::new(now),
            read_closed: Cell::new(false),
            closes_with_response: Cell::new(false),
            closed_while_idle: Cell::new(false),
            head_started_at: Cell::new(now),
            raw_head: RefCell::default(),
            body_ended: Rc::new(Cell::new(true)),
            write_watchdog: WriteWatchdog::new(now),
            close: Notify::new(),
            close_reason: Cell::new(None),
        }
    }

    /// Records that it enters a stage now.
    pub(super) fn enter_stage(&self, stage: Stage, order: u64) {
        self.stage_order.set(order);
        self.stage.set(stage);
        self.stage_since.set(Instant::now());
    }

    /// Asks the connection's task to close it.
    pub(super) fn request_close(&self, reason: ClientClose) {
        self.record_close_reason(reason);
        self.close.notify_one();
    }

    /// Returns once the connection has been asked to close.
    pub(super) async fn close_requested(&self) {
        self.close.notified().await;
    }

    /// Records why the connection is closed, unless that is known.
    pub(super) fn record_close_reason(&self, reason: ClientClose) {
        self.close_reason.set(self.close_reason.get().or(Some(reason)));
    }

    /// Why the connection has been closed.
    pub(super) fn close_reason(&self) -> ClientClose {
        self.close_reason.get().unwrap_or(ClientClose::ByClient)
    }

    /// Returns once the client has closed the connection or it has been reset.
    ///
    /// Hyper notices that by reading, so not while pipelined bytes or an unread body precede the end; the system
    /// reports it apart from them. Any interest reports the end, and `PRIORITY` reports nothing else that happens
    /// here.
    pub(super) async fn disconnected(&self) {
        while self.stream.ready(Interest::PRIORITY).await.is_ok_and(|ready| !ready.is_read_closed()) {
            tokio::task::yield_now().await;
        }
    }

    /// Whether the client has disconnected, by what the runtime knows or the socket itself says now. An end behind
    /// unread bytes is known only once the runtime is notified.
    pub(super) fn has_disconnected(&self) -> bool {
        let disconnected = pin!(unconstrained(self.disconnected()));
        let runtime_knows = disconnected.poll(&mut Context::from_waker(Waker::noop())).is_ready();
        runtime_knows || has_ended(&self.stream)
    }
}
