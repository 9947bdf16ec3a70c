//! Tracks the work that a backend in slow start has recently received.

use std::collections::VecDeque;
use std::fmt;

use leadrelay_core::Millis;

/// The limit above which a backend in slow start is overloaded.
#[derive(Clone, Copy, Debug)]
pub struct OverloadLimit {
    /// The work that the backend may receive within the window, as a multiple of the work that it can do in that time.
    pub multiple: f64,
    /// Length of the window over which work is summed.
    pub window: Millis,
}

struct Sent {
    at: Millis,
    work: Millis,
}

/// The work that arrived within a sliding window, newest last.
#[derive(Default)]
pub struct RecentWork {
    sent: VecDeque<Sent>,
}

impl RecentWork {
    /// Adds work that arrives now and removes work that is older than the window.
    pub fn record(&mut self, now: Millis, work: Millis, window: Millis) {
        self.sent.push_back(Sent { at: now, work });
        while self.sent.front().is_some_and(|sent| sent.at <= now - window) {
            self.sent.pop_front();
        }
    }

    /// Returns the sum of the work within the window.
    pub fn total(&self) -> Millis {
        self.sent.iter().map(|sent| sent.work).sum()
    }

    /// Removes all recorded work.
    pub fn clear(&mut self) {
        self.sent.clear();
    }
}

impl fmt::Display for RecentWork {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let since = self.sent.front().map_or(0.0, |sent| sent.at);
        write!(f, "{} requests of {:.0} ms since {since:.0}", self.sent.len(), self.total())
    }
}
