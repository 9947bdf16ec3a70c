//! The work that was recently sent to a backend in slow start.

use std::collections::VecDeque;
use std::fmt;

use leadrelay_core::Millis;

/// What a backend in slow start withstands.
#[derive(Clone, Copy, Debug)]
pub struct OverloadLimit {
    /// It may be sent this multiple of its capacity ...
    pub multiple: f64,
    /// ... within this time.
    pub window: Millis,
}

struct Sent {
    at: Millis,
    work: Millis,
}

/// Work sent within a window, newest last.
#[derive(Default)]
pub struct RecentWork {
    sent: VecDeque<Sent>,
}

impl RecentWork {
    /// Adds work sent now and drops what the window has passed.
    pub fn record(&mut self, now: Millis, work: Millis, window: Millis) {
        self.sent.push_back(Sent { at: now, work });
        while self.sent.front().is_some_and(|sent| sent.at <= now - window) {
            self.sent.pop_front();
        }
    }

    /// All work within the window.
    pub fn total(&self) -> Millis {
        self.sent.iter().map(|sent| sent.work).sum()
    }

    /// Forgets all work.
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
