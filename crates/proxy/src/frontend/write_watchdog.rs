//! Notices a client that takes nothing of a streamed response.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// A client that takes nothing of a streamed response for this long is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Follows the writes of a streamed response.
pub(super) struct WriteWatchdog {
    /// A response is being streamed.
    streaming: Cell<bool>,
    /// When the client last took bytes of it.
    last_write: Cell<Instant>,
}

impl WriteWatchdog {
    pub(super) fn new(now: Instant) -> Self {
        WriteWatchdog { streaming: Cell::new(false), last_write: Cell::new(now) }
    }

    /// A response starts to be streamed.
    pub(super) fn start(&self) {
        self.streaming.set(true);
        self.last_write.set(Instant::now());
    }

    /// The streamed response has ended.
    pub(super) fn stop(&self) {
        self.streaming.set(false);
    }

    /// The client has taken bytes.
    pub(super) fn record_write(&self) {
        if self.streaming.get() {
            self.last_write.set(Instant::now());
        }
    }

    /// Whether a response is being streamed.
    pub(super) fn is_streaming(&self) -> bool {
        self.streaming.get()
    }

    /// By when the client has to take bytes of a streamed response.
    pub(super) fn deadline(&self) -> Instant {
        self.last_write.get() + WRITE_TIMEOUT
    }

    /// Whether the client has taken nothing of a streamed response for too long.
    pub(super) fn has_expired(&self) -> bool {
        self.streaming.get() && self.last_write.get().elapsed() >= WRITE_TIMEOUT
    }
}
