//! Simulated time: a queue of events, ordered by time and, for equal times, by the order in which they were scheduled.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use leadrelay_core::Millis;

use super::event::Event;
use crate::time::OrderedTime;

struct ScheduledEvent {
    at: OrderedTime,
    sequence: u64,
    event: Event,
}

impl Ord for ScheduledEvent {
    /// Orders the earliest event as the greatest, because a `BinaryHeap` pops its greatest item first.
    fn cmp(&self, other: &Self) -> Ordering {
        other.at.cmp(&self.at).then(other.sequence.cmp(&self.sequence))
    }
}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for ScheduledEvent {}

/// The simulated clock and the scheduled events.
#[derive(Default)]
pub(super) struct EventQueue {
    now: Millis,
    scheduled: BinaryHeap<ScheduledEvent>,
    next_sequence: u64,
}

impl EventQueue {
    /// Returns the current simulated time.
    pub(super) fn now(&self) -> Millis {
        self.now
    }

    /// Schedules an event for a point in time; an event in the past is due immediately.
    pub(super) fn schedule_at(&mut self, at: Millis, event: Event) {
        let at = OrderedTime(at.max(self.now));
        self.scheduled.push(ScheduledEvent { at, sequence: self.next_sequence, event });
        self.next_sequence += 1;
    }

    /// Schedules an event after a delay.
    pub(super) fn schedule_after(&mut self, delay: Millis, event: Event) {
        self.schedule_at(self.now + delay, event);
    }

    /// Removes the next event and sets the clock to its time; returns `None` if no event is due by `end`.
    pub(super) fn next_until(&mut self, end: Millis) -> Option<Event> {
        let next = self.scheduled.pop()?;
        if next.at.0 > end {
            return None;
        }
        self.now = next.at.0;
        Some(next.event)
    }
}
