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
    /// Whether hyper has taken the last byte of the response. Some bytes may not have been written to the socket yet.
    has_ended: Cell<bool>,
    /// When bytes were last written to the socket, or when streaming started.
    last_write: Cell<Instant>,
}

impl WriteWatchdog {
    pub(super) fn new(now: Instant) -> Self {
        WriteWatchdog {
            response: RefCell::default(),
            has_ended: Cell::new(false),
            last_write: Cell::new(now),
        }
    }

    /// Starts to watch a streamed response.
    pub(super) fn start(&self, response: StreamedResponse) {
        self.response.replace(Some(response));
        self.has_ended.set(false);
        self.last_write.set(Instant::now());
    }

    /// Records that hyper has taken the last byte of the streamed response.
    pub(super) fn record_end(&self) {
        self.has_ended.set(self.is_streaming());
    }

    /// Records that hyper has written all bytes that it had taken. Returns whether these complete a streamed response,
    /// and stops watching if they do.
    pub(super) fn record_flush(&self) -> bool {
        let is_complete = self.has_ended.replace(false);
        if is_complete {
            self.stop();
        }
        is_complete
    }

    /// Stops watching, because the streamed response or its connection has ended.
    pub(super) fn stop(&self) {
        self.response.take();
        self.has_ended.set(false);
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
