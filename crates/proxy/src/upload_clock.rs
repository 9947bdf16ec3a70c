//! Determines since when the client of a streamed request may be waiting for the response.
//!
//! A client's timeout counts from the last byte that it writes. The proxy can't see that moment: while a backend takes
//! the body slowly or not at all, the rest of the body waits in the socket buffers of the client and of the proxy. So
//! the clock keeps the latest time at which the body can't have been written completely.

use std::cell::Cell;

use tokio::time::Instant;

/// Most bytes that a client's operating system accepts before it sends them: the default limit of Linux (`tcp_wmem`).
const MAX_CLIENT_SEND_BUFFER: u64 = 4 << 20;

/// The time from which the client of one streamed request may be waiting.
pub struct UploadClock {
    /// The latest time at which the client can't have written the last byte of its body.
    incomplete_at: Cell<Instant>,
    /// Whether the proxy is waiting for bytes of the body that have not arrived.
    awaits_client: Cell<bool>,
}

impl UploadClock {
    /// Creates the clock of a request whose head arrived at `head_arrived_at`.
    pub fn new(head_arrived_at: Instant) -> Self {
        UploadClock { incomplete_at: Cell::new(head_arrived_at), awaits_client: Cell::new(false) }
    }

    /// The earliest time at which the client may have written the last byte of its body; the current time if it is
    /// still writing.
    pub fn client_waits_since(&self) -> Instant {
        if self.awaits_client.get() { Instant::now() } else { self.incomplete_at.get() }
    }

    /// Records whether the proxy is waiting for the next bytes of the body.
    pub fn set_awaits_client(&self, awaits_client: bool) {
        self.awaits_client.set(awaits_client);
    }

    /// Records that bytes of the body have just arrived at a socket that was empty: the client had not written them
    /// before.
    pub fn record_arrival(&self) {
        self.incomplete_at.set(Instant::now());
    }

    /// Records that `remaining` bytes of the body have not been received yet. `receive_buffer` returns the size in bytes
    /// of the buffer of the client's socket at this end. The client is still writing if the rest exceeds what the
    /// buffers of both ends hold.
    pub fn record_remaining(&self, remaining: u64, receive_buffer: impl FnOnce() -> u64) {
        if remaining > MAX_CLIENT_SEND_BUFFER && remaining - MAX_CLIENT_SEND_BUFFER > receive_buffer() {
            self.incomplete_at.set(Instant::now());
        }
    }
}

#[cfg(test)]
mod tests;
