//! Decides by when the rest of a streamed response has to arrive.
//!
//! A response of up to 64 KiB is timed by its last byte, so it has to be complete by its request's deadline. A longer
//! one is timed by its first byte, and may take any time after it. A response of unknown length counts as long once it
//! has brought more than 64 KiB. Until then it may outlast the deadline only for as long as it arrives at the rate of a
//! slow peer at least: at that rate a long response shows soon that it is one.

use std::time::Duration;

use tokio::time::Instant;

use crate::body_stream::MIN_PEER_BYTES_PER_SECOND;

/// Longest response, in bytes, that is timed by its last byte.
pub(super) const MAX_SHORT_RESPONSE_BYTES: usize = 64 << 10;

/// The facts that decide by when a streamed response has to be complete.
pub(super) struct ResponseDeadline {
    /// When the client stops waiting for a short response.
    pub(super) request_deadline: Instant,
    /// When the first bytes of the response arrived.
    pub(super) first_byte_at: Instant,
    /// The length of the complete body in bytes, if it is known.
    pub(super) length: Option<u64>,
}

impl ResponseDeadline {
    /// By when the response has to be complete or to have brought more bytes, given how many have been `received`; `None`
    /// if there is no limit. The backend is not charged with `client_wait`, the time for which the client took nothing.
    pub(super) fn complete_by(&self, received: u64, client_wait: Duration) -> Option<Instant> {
        if self.length.unwrap_or(received) > MAX_SHORT_RESPONSE_BYTES as u64 {
            return None;
        }
        let limit = match self.length {
            Some(_) => self.request_deadline,
            None => self.request_deadline.max(self.first_byte_at + time_at_min_rate(received)),
        };
        Some(limit + client_wait)
    }
}

/// The time that a peer takes for this many bytes at the minimum rate.
fn time_at_min_rate(bytes: u64) -> Duration {
    Duration::from_secs_f64(bytes as f64 / MIN_PEER_BYTES_PER_SECOND)
}

#[cfg(test)]
mod tests;
