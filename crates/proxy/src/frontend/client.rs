//! The state of one client connection.

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
use super::raw_head::RawHead;
use super::write_watchdog::WriteWatchdog;
use crate::close_reason::ClientCloseReason;
use crate::memory::BufferSizes;
use crate::socket::has_ended;
use crate::upload_clock::UploadClock;

/// The stage of a connection. The variants are in the order in which connections are evicted.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Stage {
    /// The proxy closes the connection, and waits for a limited time until the client has closed its side.
    Lingering,
    /// The client has sent nothing yet.
    New,
    /// The connection is between two requests.
    Idle,
    /// A part of a request head has arrived.
    ReadingHead,
    /// A request is in flight. A connection in this stage is never evicted.
    InFlight,
}

/// One client connection.
pub(super) struct Client {
    pub(super) stream: Rc<TcpStream>,
    pub(super) stage: Cell<Stage>,
    /// Sort key among the connections of the same stage: lower means that it entered the stage earlier.
    pub(super) stage_order: Cell<u64>,
    /// When the connection entered its stage.
    pub(super) stage_since: Cell<Instant>,
    /// The time by which the next request has to be complete.
    pub(super) request_deadline: Cell<Instant>,
    /// When the connection was accepted.
    pub(super) accepted_at: Instant,
    pub(super) address: IpAddr,
    /// The earliest time at which the connection may have entered the accept queue.
    pub(super) queued_since: Instant,
    /// Whether no request has been read on the connection yet.
    pub(super) awaits_first_request: Cell<bool>,
    /// When bytes were last read from the connection.
    pub(super) last_read: Cell<Instant>,
    /// Whether the client has closed its sending side.
    pub(super) read_closed: Cell<bool>,
    /// Whether the connection closes with the next response.
    pub(super) closes_with_response: Cell<bool>,
    /// Whether the proxy has begun to close the connection between two requests.
    pub(super) closed_while_idle: Cell<bool>,
    /// When the first byte of the current request head was read. Line breaks before a head don't count as part of it.
    pub(super) head_started_at: Cell<Instant>,
    /// What the raw bytes of the current request head have shown. Bytes that were read together with the previous request,
    /// before the connection became idle, are missing.
    pub(super) raw_head: RefCell<RawHead>,
    /// Whether the body of the latest request has been received to its end; true if that request has no body.
    pub(super) body_ended: Rc<Cell<bool>>,
    /// The clock of the latest request with a body.
    pub(super) upload_clock: RefCell<Option<Rc<UploadClock>>>,
    /// Whether a request has been read that is not handled yet, because the response before it is still being written.
    pub(super) next_request_waits: Cell<bool>,
    /// Whether the receive buffer was empty at the last read.
    pub(super) receive_buffer_empty: Cell<bool>,
    /// Detects that the client reads nothing of a streamed response.
    pub(super) write_watchdog: WriteWatchdog,
    /// The sizes of the connection's buffers.
    pub(super) buffers: Cell<BufferSizes>,
    /// Signals the connection's task to close the connection.
    close: Notify,
    /// The reason for which the connection is closed, once it is known.
    close_reason: Cell<Option<ClientCloseReason>>,
}

/// The error of a request whose client disconnected before the response.
#[derive(Debug, thiserror::Error)]
#[error("client disconnected")]
pub(super) struct ClientDisconnected;

impl Client {
    /// Creates the state of a connection that has just been accepted and entered the accept queue no earlier than
    /// `queued_since`.
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
            upload_clock: RefCell::default(),
            next_request_waits: Cell::new(false),
            receive_buffer_empty: Cell::new(false),
            write_watchdog: WriteWatchdog::new(now),
            buffers: Cell::new(BufferSizes::NARROW),
            close: Notify::new(),
            close_reason: Cell::new(None),
        }
    }

    /// Records that the connection enters a stage now.
    pub(super) fn enter_stage(&self, stage: Stage, order: u64) {
        self.stage_order.set(order);
        self.stage.set(stage);
        self.stage_since.set(Instant::now());
    }

    /// Starts the clock of a request with a body, whose head arrived at `head_arrived_at`.
    pub(super) fn start_upload_clock(&self, head_arrived_at: Instant) -> Rc<UploadClock> {
        let clock = Rc::new(UploadClock::new(head_arrived_at));
        self.upload_clock.replace(Some(clock.clone()));
        clock
    }

    /// Records that bytes have just arrived in a receive buffer that was empty, for the body that they may belong to.
    pub(super) fn record_arrival(&self) {
        if let Some(clock) = self.upload_clock.borrow().as_ref().filter(|_| !self.body_ended.get()) {
            clock.record_arrival();
        }
    }

    /// Signals the connection's task to close the connection for this reason.
    pub(super) fn request_close(&self, reason: ClientCloseReason) {
        self.record_close_reason(reason);
        self.close.notify_one();
    }

    /// Waits for a request to close the connection.
    pub(super) async fn close_requested(&self) {
        self.close.notified().await;
    }

    /// Records why the connection is closed, unless a reason has been recorded before.
    pub(super) fn record_close_reason(&self, reason: ClientCloseReason) {
        self.close_reason.set(self.close_reason.get().or(Some(reason)));
    }

    /// The recorded reason for closing the connection, or `ByClient` if there is none.
    pub(super) fn close_reason(&self) -> ClientCloseReason {
        self.close_reason.get().unwrap_or(ClientCloseReason::ByClient)
    }

    /// Waits until the client has closed the connection or the connection has been reset.
    ///
    /// Hyper detects the end of a connection by reading, so pipelined bytes or an unread body in front of the end hide
    /// it. The operating system reports the end as a readiness event even then. Tokio reports it for any interest;
    /// `PRIORITY` is used because no other event of these sockets matches it.
    pub(super) async fn disconnected(&self) {
        while self.stream.ready(Interest::PRIORITY).await.is_ok_and(|ready| !ready.is_read_closed()) {
            tokio::task::yield_now().await;
        }
    }

    /// Whether the client has disconnected, according to the runtime's readiness state or to a peek at the socket. The
    /// peek detects an end that the runtime has not been notified of yet, unless unread bytes precede it.
    pub(super) fn has_disconnected(&self) -> bool {
        let disconnected = pin!(unconstrained(self.disconnected()));
        let runtime_knows = disconnected.poll(&mut Context::from_waker(Waker::noop())).is_ready();
        runtime_knows || has_ended(&self.stream)
    }
}
