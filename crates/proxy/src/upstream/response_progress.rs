//! Tracks how far a response has been read from its connection, and detects stalls.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

use super::request_framing::HEAD_END;

/// How long a backend may pause within a response: for as long as the rest may be held back from the client. A shorter
/// pause does not tell a response that never ends from one that is written slowly.
pub(super) const STALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Tracks the bytes of a response as they are read.
#[derive(Default)]
pub(super) struct ResponseProgress {
    /// When the last bytes of a response that may be incomplete arrived; `None` if no bytes have arrived for the
    /// request, or the last ones ended with a blank line.
    last_partial_read_at: Cell<Option<Instant>>,
    /// When the first bytes of the most recent response head arrived.
    first_byte_at: Cell<Option<Instant>>,
    /// Whether the most recent response head started to arrive before the request was completely written.
    is_early: Cell<bool>,
    /// Notified when bytes of the response have been read.
    bytes_read: Notify,
}

impl ResponseProgress {
    /// Resets the state for a new request.
    pub(super) fn start(&self) {
        self.last_partial_read_at.set(None);
    }

    /// Records bytes of a response. Bytes that end in a blank line do not start the stall timeout: they may be the
    /// complete head of an interim response, and the final response may arrive much later.
    pub(super) fn record_read(&self, bytes: &[u8], request_complete: bool) {
        let now = Instant::now();
        let may_be_partial = !bytes.ends_with(HEAD_END);
        if self.last_partial_read_at.replace(may_be_partial.then_some(now)).is_none() {
            self.first_byte_at.set(Some(now));
            self.is_early.set(!request_complete);
        }
        self.bytes_read.notify_one();
    }

    /// When the first bytes of the most recent response head arrived.
    pub(super) fn first_byte_at(&self) -> Option<Instant> {
        self.first_byte_at.get()
    }

    /// Whether the most recent response head started to arrive before the request was completely written.
    pub(super) fn is_early(&self) -> bool {
        self.is_early.get()
    }

    /// Waits until a response has started and then stalled for `STALL_TIMEOUT`.
    pub(super) async fn stalled(&self) {
        loop {
            match self.last_partial_read_at.get() {
                Some(since) if since.elapsed() >= STALL_TIMEOUT => return,
                Some(since) => sleep_until(since + STALL_TIMEOUT).await,
                None => self.bytes_read.notified().await,
            }
        }
    }
}
