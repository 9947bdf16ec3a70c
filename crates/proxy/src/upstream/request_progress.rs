//! Tracks how far a request has been written to its connection, and decides whether the next bytes may be written.

use std::cell::{Cell, RefCell};
use std::sync::Arc;

use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};
use tracing::debug;

use super::guard::SendGuard;
use super::request_framing::RequestFraming;
use super::request_state::RequestState;
use super::response_progress::ResponseProgress;
use super::write_progress::WriteProgress;
use crate::close_reason::BackendCloseReason;
use crate::metrics::Metrics;

/// Tracks the bytes of a request as they are written to the socket, and denies writes if the request may not be sent.
#[derive(Default)]
pub(super) struct RequestProgress {
    /// The conditions for writing the first byte; `None` between requests.
    guard: RefCell<Option<SendGuard>>,
    /// Whether the first byte has been written.
    has_started: Cell<bool>,
    /// Whether the last write was denied.
    was_denied: Cell<bool>,
    framing: RequestFraming,
    /// When the response to a streamed request times out; `None` until the body's last byte has been read.
    response_deadline: Cell<Option<Instant>>,
    /// Notified when `response_deadline` has been set.
    response_deadline_set: Notify,
    /// Whether the stream of the body ended before the body was complete.
    is_body_incomplete: Cell<bool>,
    /// Whether the backend takes the bytes of the request.
    pub(super) write: WriteProgress,
    /// Progress of the response.
    pub(super) response: ResponseProgress,
    /// The metrics; `None` in tests without sockets.
    metrics: Option<Arc<Metrics>>,
}

impl RequestProgress {
    pub(super) fn new(metrics: Arc<Metrics>) -> Self {
        RequestProgress { metrics: Some(metrics), ..RequestProgress::default() }
    }

    /// Resets the state for a new request with a body of this length in bytes.
    pub(super) fn start(&self, guard: SendGuard, body_length: usize) {
        self.guard.replace(Some(guard));
        self.has_started.set(false);
        self.was_denied.set(false);
        self.framing.start(body_length);
        self.write.start();
        self.response.start();
        self.response_deadline.set(None);
        self.is_body_incomplete.set(false);
    }

    /// Ends the request after its exchange. Nothing may be written until the next request starts.
    pub(super) fn finish(&self) {
        self.guard.replace(None);
    }

    /// Counts in the metrics that the connection was closed.
    pub(super) fn count_closed_connection(&self, reason: BackendCloseReason) {
        if let Some(metrics) = &self.metrics {
            metrics.upstream_closed(reason);
        }
    }

    /// Records that the last byte of a streamed body has been read from its stream, and when the response times out.
    pub(super) fn record_body_read(&self, response_deadline: Instant) {
        self.framing.record_body_read();
        self.response_deadline.set(Some(response_deadline));
        self.response_deadline_set.notify_one();
    }

    /// Records that the stream of the body ended before the body was complete.
    pub(super) fn record_body_incomplete(&self) {
        self.is_body_incomplete.set(true);
    }

    /// Waits until the response to a streamed request times out.
    pub(super) async fn response_timed_out(&self) {
        loop {
            match self.response_deadline.get() {
                Some(deadline) => return sleep_until(deadline).await,
                None => self.response_deadline_set.notified().await,
            }
        }
    }

    /// Checks whether the next bytes may be written, and records whether they were denied.
    pub(super) fn may_write(&self) -> bool {
        let allowed = if self.has_started.get() { self.may_write_more() } else { self.may_write_first() };
        self.was_denied.set(!allowed);
        allowed
    }

    /// Whether the first byte has been written.
    pub(super) fn has_started(&self) -> bool {
        self.has_started.get()
    }

    /// Whether no byte of the request has been written and the last write was not denied.
    pub(super) fn is_unwritten_without_denial(&self) -> bool {
        !self.has_started.get() && !self.was_denied.get()
    }

    /// Whether the request was stopped for a reason unrelated to the backend: a write was denied, or the client did not
    /// send its whole body.
    pub(super) fn was_withdrawn(&self) -> bool {
        self.was_denied.get() || self.is_body_incomplete.get()
    }

    /// Whether the first byte may be written; logs and counts a denial.
    fn may_write_first(&self) -> bool {
        let guard = self.guard.borrow();
        let Some(guard) = guard.as_ref() else { return false };
        let Some(denial) = guard.denial() else { return true };
        debug!(request = guard.request.request_id(), reason = denial.name(), "attempt denied");
        if let Some(metrics) = &self.metrics {
            metrics.attempt_denied(denial);
        }
        false
    }

    /// Whether more bytes may be written after the first one. A backend never runs an incomplete request, so writing
    /// stops once the request is abandoned. A request that already has its response is written to its end, because
    /// stopping might break the response.
    fn may_write_more(&self) -> bool {
        let guard = self.guard.borrow();
        let is_abandoned = guard.as_ref().is_some_and(|guard| guard.state.get() == RequestState::Abandoned);
        self.is_complete() || !is_abandoned
    }

    /// Records bytes of the request that have been written to the socket.
    pub(super) fn record_written(&self, bytes: &[u8]) {
        if !self.has_started.get() && !bytes.is_empty() {
            self.has_started.set(true);
            self.count_violations();
        }
        let was_complete = self.is_complete();
        self.write.record_written();
        self.framing.advance(bytes);
        if let Some(metrics) = self.metrics.as_ref().filter(|_| !was_complete && self.is_complete()) {
            metrics.attempt_written();
        }
    }

    /// Counts the invariants that the request's first byte violated; called just after that byte was written.
    fn count_violations(&self) {
        let guard = self.guard.borrow();
        let Some(guard) = guard.as_ref() else { return };
        let Some(metrics) = &self.metrics else { return };
        let request = guard.request.request_id();
        for invariant in guard.violations() {
            metrics.invariant_violated(invariant, request);
        }
    }

    /// Records bytes of the response that have been read from the socket.
    pub(super) fn record_read(&self, bytes: &[u8]) {
        self.response.record_read(bytes, self.is_complete());
    }

    /// Whether the request's last byte has been written. From then on the request may have run.
    pub(super) fn is_complete(&self) -> bool {
        self.framing.is_complete()
    }
}
