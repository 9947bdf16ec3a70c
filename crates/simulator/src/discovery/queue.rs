//! The queue of calls to discovery.

use leadrelay_core::Millis;

use crate::time::MS_PER_S;

/// Calls that are served in turn at a constant rate.
#[derive(Clone, Copy, Debug)]
pub struct CallQueue {
    calls_per_s: f64,
    max_wait: Millis,
    available_at: Millis,
}

impl CallQueue {
    /// An empty queue, which rejects calls that would wait for longer than `max_wait`.
    pub fn new(calls_per_s: f64, max_wait: Millis) -> Self {
        CallQueue { calls_per_s, max_wait, available_at: 0.0 }
    }

    /// Joins the queue; returns when the call will have been served, `None` if it would wait too long.
    pub fn join(&mut self, now: Millis) -> Option<Millis> {
        let start = self.available_at.max(now);
        if start - now > self.max_wait {
            return None;
        }
        self.available_at = start + MS_PER_S / self.calls_per_s;
        Some(self.available_at)
    }

    /// Drops all calls.
    pub fn clear(&mut self, now: Millis) {
        self.available_at = now;
    }
}
