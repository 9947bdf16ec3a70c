//! Detects a client that reads nothing of a streamed response.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use tokio::time::Instant;

use super::streamed_responses::StreamedResponse;

/// Time after which a client is disconnected if it reads nothing of a streamed response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Tracks the writes of a streamed response to a client's socket.
pub(super) struct WriteWatchdog {
    /// The response that is being streamed, if there is one.
    response: RefCell<Option<StreamedResponse>>,
    /// When bytes were last written to the socket, or when streaming started.
    last_write: Cell<Instant>,
}

impl WriteWatchdog {
    pub(super) fn new(now: Instant) -> Self {
        WriteWatchdog { response: RefCell::default(), last_write: Cell::new(now) }
    }

    /// Starts to watch a streamed response.
    pub(super) fn start(&self, response: StreamedResponse) {
        self.response.replace(Some(response));
        self.last_write.set(Instant::now());
    }

    /// Stops watching, because the streamed response or its connection has ended.
    pub(super) fn stop(&self) {
        self.response.take();
    }

    /// Records that bytes have been written to the socket.
    pub(super) fn record_write(&self) {
        if self.is_streaming() {
            self.last_write.set(Instant::now());
        }
    }

    /// Whether a response is being streamed.
    pub(super) fn is_streaming(&self) -> bool {
        self.response.borrow().is_some()
    }

    /// The time by which more bytes of a streamed response have to be written.
    pub(super) fn deadline(&self) -> Instant {
        self.last_write.get() + WRITE_TIMEOUT
    }

    /// Whether a response is being streamed and nothing of it has been written for [`WRITE_TIMEOUT`].
    pub(super) fn has_expired(&self) -> bool {
        self.is_streaming() && self.last_write.get().elapsed() >= WRITE_TIMEOUT
    }
}
