//! Detects a client that reads nothing of a streamed response.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

use super::live_count::CountGuard;
use crate::body_stream::MIN_PEER_BYTES_PER_SECOND;

/// Lower bound of the send buffer that is assumed for a socket, in bytes: the default limit of Linux (`tcp_wmem`). The
/// operating system may enlarge the buffer at any time.
const MIN_SEND_BUFFER: u64 = 4 << 20;

/// Tracks the writes of a streamed response to a client's socket.
pub(super) struct WriteWatchdog {
    /// Counts the response that is being streamed, if there is one.
    response: RefCell<Option<CountGuard>>,
    /// Whether hyper has taken the last byte of the response. Some bytes may not have been written to the socket yet.
    has_ended: Cell<bool>,
    /// When bytes were last written to the socket, or when streaming started.
    last_write: Cell<Instant>,
    /// Notified when a response starts to be streamed.
    started: Notify,
}

impl WriteWatchdog {
    pub(super) fn new(now: Instant) -> Self {
        WriteWatchdog {
            response: RefCell::default(),
            has_ended: Cell::new(false),
            last_write: Cell::new(now),
            started: Notify::new(),
        }
    }

    /// Starts to watch a streamed response.
    pub(super) fn start(&self, response: CountGuard) {
        self.response.replace(Some(response));
        self.has_ended.set(false);
        self.last_write.set(Instant::now());
        self.started.notify_one();
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

    /// Waits until a response is being streamed of which the client has taken nothing for the write timeout.
    /// `send_buffer` returns the size in bytes of the send buffer of the client's socket.
    pub(super) async fn expired(&self, send_buffer: impl Fn() -> u64) {
        loop {
            while !self.is_streaming() {
                self.started.notified().await;
            }
            let deadline = self.last_write.get() + write_timeout(send_buffer());
            if Instant::now() >= deadline {
                return;
            }
            sleep_until(deadline).await;
        }
    }
}

/// The time for which nothing may be written to a socket although a response is being streamed. The operating system
/// reports a socket as writable only once a good part of its send buffer is free, which takes a slow client long. After
/// this time, even the slowest client would have emptied the buffer.
fn write_timeout(send_buffer: u64) -> Duration {
    Duration::from_secs_f64(send_buffer.max(MIN_SEND_BUFFER) as f64 / MIN_PEER_BYTES_PER_SECOND)
}

#[cfg(test)]
mod tests;
