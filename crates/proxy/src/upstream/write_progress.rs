//! Tracks whether a backend takes the bytes of a request, and detects a stall.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

/// How long a backend may take no bytes of a request before the attempt counts as stalled.
pub(super) const WRITE_STALL_TIMEOUT: Duration = Duration::from_millis(250);

/// Tracks whether the writes of a request are blocked because the backend does not read.
#[derive(Default)]
pub(super) struct WriteProgress {
    /// Since when the send buffer has been full; `None` if the last write succeeded.
    blocked_since: Cell<Option<Instant>>,
    /// Notified when writing becomes blocked or continues.
    changed: Notify,
}

impl WriteProgress {
    /// Resets the state for a new request.
    pub(super) fn start(&self) {
        self.blocked_since.set(None);
    }

    /// Records that a write found the send buffer full.
    pub(super) fn record_blocked(&self) {
        if self.blocked_since.get().is_none() {
            self.blocked_since.set(Some(Instant::now()));
            self.changed.notify_one();
        }
    }

    /// Records that bytes have been written.
    pub(super) fn record_written(&self) {
        if self.blocked_since.take().is_some() {
            self.changed.notify_one();
        }
    }

    /// Waits until the backend has taken nothing for [`WRITE_STALL_TIMEOUT`].
    pub(super) async fn stalled(&self) {
        loop {
            let Some(since) = self.blocked_since.get() else {
                self.changed.notified().await;
                continue;
            };
            let stalled_at = since + WRITE_STALL_TIMEOUT;
            if Instant::now() >= stalled_at {
                return;
            }
            let _ = timeout_at(stalled_at, self.changed.notified()).await; // either way, the state is looked at again
        }
    }

    /// Waits until bytes have been written after a stall.
    pub(super) async fn resumed(&self) {
        while self.blocked_since.get().is_some() {
            self.changed.notified().await;
        }
    }
}
