//! How far a request has been written to its connection, and how far its answer has been read.

use std::cell::{Cell, RefCell};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};
use tracing::debug;

use super::guard::{RequestState, SendGuard};
use crate::close_reason::BackendClose;
use crate::metrics::Metrics;

/// Once an answer has begun, its next bytes must arrive within this span. An answer that is shorter than its length
/// says would else keep its request until the client gives up.
pub(super) const STALL_TIMEOUT: Duration = Duration::from_millis(250);

/// What ends a head.
pub(super) const HEAD_END: &[u8] = b"\r\n\r\n";
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
/// Stands for a body of unknown length: more than can come.
pub(super) const UNKNOWN_LENGTH: usize = usize::MAX;

/// Follows the bytes of a request onto its socket, and denies the first one where the request may not be sent.
#[derive(Default)]
pub(super) struct RequestProgress {
    /// What must hold when the first byte is written; `None` between requests.
    pub(super) guard: RefCell<Option<SendGuard>>,
    /// The first byte has been written.
    pub(super) begun: Cell<bool>,
    /// The last write was denied.
    pub(super) denied: Cell<bool>,
    /// How many bytes of `HEAD_END` have been written in a row.
    head_end_matched: Cell<usize>,
    /// Bytes of the body still to be written; for one of unknown length, more than can come.
    body_remaining: Cell<usize>,
    /// Where requests that have been written to their end are counted.
    metrics: Option<Arc<Metrics>>,
    /// When a streamed request's answer times out; known with the body's last byte, which `body_complete` announces.
    answer_deadline: Cell<Option<Instant>>,
    body_complete: Notify,
    /// The client has not finished its body.
    pub(super) body_failed: Cell<bool>,
    /// Since when a part of an answer has been there without its end.
    partial_since: Cell<Option<Instant>>,
    /// When the last head began to arrive.
    pub(super) answer_begun: Cell<Option<Instant>>,
    /// Whether the request was not complete then.
    pub(super) answer_early: Cell<bool>,
    answer_read: Notify,
}

impl RequestProgress {
    pub(super) fn new(metrics: Arc<Metrics>) -> Self {
        RequestProgress { metrics: Some(metrics), ..RequestProgress::default() }
    }

    /// Starts over for a request with a body of this length.
    pub(super) fn start(&self, guard: SendGuard, body_length: usize) {
        self.guard.replace(Some(guard));
        self.begun.set(false);
        self.denied.set(false);
        self.head_end_matched.set(0);
        self.body_remaining.set(body_length);
        self.partial_since.set(None);
        self.answer_deadline.set(None);
        self.body_failed.set(false);
    }

    /// Counts that the connection is closed.
    pub(super) fn connection_closed(&self, reason: BackendClose) {
        self.metrics.iter().for_each(|metrics| metrics.backend_closed(reason));
    }

    /// Records that the last byte of a streamed body has been taken, and when its answer times out.
    ///
    /// A body of unknown length still has its last chunk to come, five bytes at least: it counts as complete with
    /// the first five, rather too early than too late.
    pub(super) fn body_taken(&self, answer_deadline: Instant) {
        if self.body_remaining.get() > UNKNOWN_LENGTH / 2 {
            self.body_remaining.set(LAST_CHUNK.len());
        }
        self.answer_deadline.set(Some(answer_deadline));
        self.body_complete.notify_one();
    }

    /// Records bytes of an answer. What stops at a blank line may be an interim answer's whole head, after which the
    /// final one may take its time.
    pub(super) fn record_read(&self, bytes: &[u8]) {
        let now = Instant::now();
        let partial = !bytes.ends_with(HEAD_END);
        if self.partial_since.replace(partial.then_some(now)).is_none() {
            self.answer_begun.set(Some(now));
            self.answer_early.set(!self.complete());
        }
        self.answer_read.notify_one();
    }

    /// Waits until an answer has begun and stalled.
    pub(super) async fn stalled(&self) {
        loop {
            match self.partial_since.get() {
                Some(since) if since.elapsed() >= STALL_TIMEOUT => return,
                Some(since) => sleep_until(since + STALL_TIMEOUT).await,
                None => self.answer_read.notified().await,
            }
        }
    }

    /// Waits until the answer to a streamed request times out.
    pub(super) async fn answer_timed_out(&self) {
        loop {
            match self.answer_deadline.get() {
                Some(deadline) => return sleep_until(deadline).await,
                None => self.body_complete.notified().await,
            }
        }
    }

    /// Whether the next bytes may be written.
    pub(super) fn admit(&self) -> bool {
        let admitted = if self.begun.get() { self.may_continue() } else { self.may_begin() };
        self.denied.set(!admitted);
        admitted
    }

    /// Whether nothing has been written, and not because the request was denied.
    pub(super) fn is_untouched(&self) -> bool {
        !self.begun.get() && !self.denied.get()
    }

    fn may_begin(&self) -> bool {
        let guard = self.guard.borrow();
        let Some(guard) = guard.as_ref() else { return false };
        let denial = guard.denial();
        if let Some(denial) = denial {
            debug!(request = guard.outgoing.request_id(), reason = denial.name(), "an attempt is denied");
            self.metrics.iter().for_each(|metrics| metrics.denied(denial));
        }
        denial.is_none()
    }

    /// Counts the invariants that the request's first byte breaks, once it has been written.
    fn verify_begin(&self) {
        let (guard, metrics) = (self.guard.borrow(), self.metrics.as_ref());
        let Some((guard, metrics)) = guard.as_ref().zip(metrics) else { return };
        let request = guard.outgoing.request_id();
        guard.violations().for_each(|invariant| metrics.violated(invariant, request));
    }

    /// An incomplete request never runs, so it ends here once its client has left. One that has its answer is
    /// written to its end, or the answer might break.
    fn may_continue(&self) -> bool {
        let guard = self.guard.borrow();
        self.complete() || guard.as_ref().is_none_or(|guard| guard.state.get() != RequestState::Abandoned)
    }

    /// Records bytes of the request that have been written.
    pub(super) fn record_written(&self, bytes: &[u8]) {
        if !self.begun.get() && !bytes.is_empty() {
            self.begun.set(true);
            self.verify_begin();
        }
        let was_complete = self.complete();
        self.advance(bytes);
        if let Some(metrics) = self.metrics.as_ref().filter(|_| !was_complete && self.complete()) {
            metrics.attempt_written();
        }
    }

    /// Looks for the end of the head, and counts the bytes of the body after it.
    fn advance(&self, bytes: &[u8]) {
        let mut rest = bytes;
        while self.head_end_matched.get() < HEAD_END.len() {
            let Some((&byte, after)) = rest.split_first() else { return };
            rest = after;
            let matched = self.head_end_matched.get();
            let matched = if byte == HEAD_END[matched] { matched + 1 } else { usize::from(byte == b'\r') };
            self.head_end_matched.set(matched);
        }
        self.body_remaining.set(self.body_remaining.get().saturating_sub(rest.len()));
    }

    /// Whether the request's last byte has been written: from then on it may have run.
    pub(super) fn complete(&self) -> bool {
        self.head_end_matched.get() == HEAD_END.len() && self.body_remaining.get() == 0
    }
}
