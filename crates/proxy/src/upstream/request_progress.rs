//! How far a request has been written to its connection, and whether the next bytes may be.

use std::cell::{Cell, RefCell};
use std::sync::Arc;

use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};
use tracing::debug;

use super::guard::SendGuard;
use super::request_framing::RequestFraming;
use super::request_state::RequestState;
use super::response_progress::ResponseProgress;
use crate::close_reason::BackendClose;
use crate::metrics::Metrics;

/// Follows the bytes of a request onto its socket, and denies the first one if the request may not be sent.
#[derive(Default)]
pub(super) struct RequestProgress {
    /// What must hold when the first byte is written; `None` between requests.
    guard: RefCell<Option<SendGuard>>,
    /// The first byte has been written.
    started: Cell<bool>,
    /// The last write was denied.
    denied: Cell<bool>,
    framing: RequestFraming,
    /// When a streamed request's response times out; known with the body's last byte, which `body_complete` announces.
    response_deadline: Cell<Option<Instant>>,
    body_complete: Notify,
    /// The client has not finished its body.
    body_failed: Cell<bool>,
    /// How far the response has been read.
    pub(super) response: ResponseProgress,
    /// `None` in tests without sockets.
    metrics: Option<Arc<Metrics>>,
}

impl RequestProgress {
    pub(super) fn new(metrics: Arc<Metrics>) -> Self {
        RequestProgress { metrics: Some(metrics), ..RequestProgress::default() }
    }

    /// Starts over for a request with a body of this length.
    pub(super) fn start(&self, guard: SendGuard, body_length: usize) {
        self.guard.replace(Some(guard));
        self.started.set(false);
        self.denied.set(false);
        self.framing.start(body_length);
        self.response.start();
        self.response_deadline.set(None);
        self.body_failed.set(false);
    }

    /// Forgets the request, whose exchange is over: nothing may be written until the next one starts.
    pub(super) fn finish(&self) {
        self.guard.replace(None);
    }

    /// Counts that the connection is closed.
    pub(super) fn connection_closed(&self, reason: BackendClose) {
        if let Some(metrics) = &self.metrics {
            metrics.backend_closed(reason);
        }
    }

    /// Records that the last byte of a streamed body has been taken, and when the response times out.
    pub(super) fn body_taken(&self, response_deadline: Instant) {
        self.framing.body_taken();
        self.response_deadline.set(Some(response_deadline));
        self.body_complete.notify_one();
    }

    /// Records that the client has not finished its body.
    pub(super) fn body_failed(&self) {
        self.body_failed.set(true);
    }

    /// Waits until the response to a streamed request times out.
    pub(super) async fn response_timed_out(&self) {
        loop {
            match self.response_deadline.get() {
                Some(deadline) => return sleep_until(deadline).await,
                None => self.body_complete.notified().await,
            }
        }
    }

    /// Whether the next bytes may be written.
    pub(super) fn may_write(&self) -> bool {
        let allowed = if self.started.get() { self.may_continue() } else { self.may_start() };
        self.denied.set(!allowed);
        allowed
    }

    /// Whether the first byte has been written.
    pub(super) fn has_started(&self) -> bool {
        self.started.get()
    }

    /// Whether nothing has been written, and not because the request was denied.
    pub(super) fn is_untouched(&self) -> bool {
        !self.started.get() && !self.denied.get()
    }

    /// Whether the request was stopped on this side: denied, or left incomplete by its client.
    pub(super) fn was_withdrawn(&self) -> bool {
        self.denied.get() || self.body_failed.get()
    }

    fn may_start(&self) -> bool {
        let guard = self.guard.borrow();
        let Some(guard) = guard.as_ref() else { return false };
        let Some(denial) = guard.denial() else { return true };
        debug!(request = guard.request.request_id(), reason = denial.name(), "attempt denied");
        if let Some(metrics) = &self.metrics {
            metrics.denied(denial);
        }
        false
    }

    /// An incomplete request never runs, so it ends here once its client has left. One that has its response is
    /// written to its end, or the response might break.
    fn may_continue(&self) -> bool {
        let guard = self.guard.borrow();
        let abandoned = guard.as_ref().is_some_and(|guard| guard.state.get() == RequestState::Abandoned);
        self.is_complete() || !abandoned
    }

    /// Records bytes of the request that have been written.
    pub(super) fn record_written(&self, bytes: &[u8]) {
        if !self.started.get() && !bytes.is_empty() {
            self.started.set(true);
            self.verify_start();
        }
        let was_complete = self.is_complete();
        self.framing.advance(bytes);
        if let Some(metrics) = self.metrics.as_ref().filter(|_| !was_complete && self.is_complete()) {
            metrics.attempt_written();
        }
    }

    /// Counts the invariants that the request's first byte violates, once it has been written.
    fn verify_start(&self) {
        let guard = self.guard.borrow();
        let Some(guard) = guard.as_ref() else { return };
        let Some(metrics) = &self.metrics else { return };
        let request = guard.request.request_id();
        for invariant in guard.violations() {
            metrics.violated(invariant, request);
        }
    }

    /// Records bytes of the response that have been read.
    pub(super) fn record_read(&self, bytes: &[u8]) {
        self.response.record_read(bytes, self.is_complete());
    }

    /// Whether the request's last byte has been written: from then on it may have run.
    pub(super) fn is_complete(&self) -> bool {
        self.framing.is_complete()
    }
}
