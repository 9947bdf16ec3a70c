//! How far a response has been read from its connection.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

use super::request_framing::HEAD_END;

/// Once a response has started, its next bytes must arrive within this time. A response that is shorter than its
/// content length would otherwise keep its request until the client gives up.
pub(super) const STALL_TIMEOUT: Duration = Duration::from_millis(250);

/// Follows the bytes of a response as they are read.
#[derive(Default)]
pub(super) struct ResponseProgress {
    /// Since when a part of a response has been there without its end.
    partial_since: Cell<Option<Instant>>,
    /// When the last head started to arrive.
    started_at: Cell<Option<Instant>>,
    /// Whether the request was not completely written then.
    early: Cell<bool>,
    /// Notified when bytes have been read.
    bytes_read: Notify,
}

impl ResponseProgress {
    /// Starts over for another request.
    pub(super) fn start(&self) {
        self.partial_since.set(None);
    }

    /// Records bytes of a response. What stops at a blank line may be an interim response's complete head, after
    /// which the final one may take its time.
    pub(super) fn record_read(&self, bytes: &[u8], request_complete: bool) {
        let now = Instant::now();
        let partial = !bytes.ends_with(HEAD_END);
        if self.partial_since.replace(partial.then_some(now)).is_none() {
            self.started_at.set(Some(now));
            self.early.set(!request_complete);
        }
        self.bytes_read.notify_one();
    }

    /// When the last head started to arrive.
    pub(super) fn started_at(&self) -> Option<Instant> {
        self.started_at.get()
    }

    /// Whether the last head started to arrive before the request was completely written.
    pub(super) fn is_early(&self) -> bool {
        self.early.get()
    }

    /// Waits until a response has started and stalled.
    pub(super) async fn stalled(&self) {
        loop {
            match self.partial_since.get() {
                Some(since) if since.elapsed() >= STALL_TIMEOUT => return,
                Some(since) => sleep_until(since + STALL_TIMEOUT).await,
                None => self.bytes_read.notified().await,
            }
        }
    }
}
