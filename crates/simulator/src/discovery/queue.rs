//! The queue of calls to the discovery service.

use leadrelay_core::Millis;

use crate::time::MS_PER_S;

/// A queue of calls that are served in order at a constant rate.
#[derive(Clone, Copy, Debug)]
pub struct CallQueue {
    calls_per_s: f64,
    max_wait: Millis,
    /// Time at which the calls in the queue will all have been served.
    available_at: Millis,
}

impl CallQueue {
    /// Creates an empty queue, which rejects calls that would wait longer than `max_wait`.
    pub fn new(calls_per_s: f64, max_wait: Millis) -> Self {
        CallQueue { calls_per_s, max_wait, available_at: 0.0 }
    }

    /// Adds a call to the queue; returns the time at which its service ends, or `None` if it would wait too long.
    pub fn join(&mut self, now: Millis) -> Option<Millis> {
        let start = self.available_at.max(now);
        if start - now > self.max_wait {
            return None;
        }
        self.available_at = start + MS_PER_S / self.calls_per_s;
        Some(self.available_at)
    }

    /// Removes all calls.
    pub fn clear(&mut self, now: Millis) {
        self.available_at = now;
    }
}
