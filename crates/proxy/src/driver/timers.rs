//! The queue of the driver's timers.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use leadrelay_core::RequestId;
use tokio::time::Instant;

/// A timer of the driver. Timers due at the same instant run in the order of these variants.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// A timer of the balancer, with its token.
    Balancer(u64),
    /// The request must get its final response now, unless its deadline has been extended.
    ResponseDue(RequestId),
    /// The process is about to end: every request must get its final response now.
    ShutdownDeadline,
}

/// Pending timers, ordered by due time.
#[derive(Default)]
pub struct TimerQueue(BinaryHeap<Reverse<(Instant, Timer)>>);

impl TimerQueue {
    /// Adds a timer.
    pub fn add(&mut self, due_at: Instant, timer: Timer) {
        self.0.push(Reverse((due_at, timer)));
    }

    /// When the next timer is due.
    pub fn next_due_at(&self) -> Option<Instant> {
        self.0.peek().map(|Reverse((due_at, _))| *due_at)
    }

    /// Removes the next timer that is due by `now`.
    pub fn pop_due(&mut self, now: Instant) -> Option<Timer> {
        if self.next_due_at()? > now {
            return None;
        }
        self.0.pop().map(|Reverse((_, timer))| timer)
    }
}
