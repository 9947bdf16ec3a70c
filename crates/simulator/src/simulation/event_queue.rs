//! Simulated time: events in the order of their times, those of one time in the order in which they were scheduled.

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
    /// The earliest is the greatest, as the heap yields its greatest item first.
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

/// The clock and the events to come.
#[derive(Default)]
pub(super) struct EventQueue {
    now: Millis,
    scheduled: BinaryHeap<ScheduledEvent>,
    next_sequence: u64,
}

impl EventQueue {
    /// The present time.
    pub(super) fn now(&self) -> Millis {
        self.now
    }

    /// Schedules an event for a time; one in the past becomes due at once.
    pub(super) fn schedule_at(&mut self, at: Millis, event: Event) {
        let at = OrderedTime(at.max(self.now));
        self.scheduled.push(ScheduledEvent { at, sequence: self.next_sequence, event });
        self.next_sequence += 1;
    }

    /// Schedules an event after a delay.
    pub(super) fn schedule_after(&mut self, delay: Millis, event: Event) {
        self.schedule_at(self.now + delay, event);
    }

    /// Takes out the next event, if it is due by `end`, and sets the clock to its time.
    pub(super) fn next_until(&mut self, end: Millis) -> Option<Event> {
        let next = self.scheduled.pop()?;
        if next.at.0 > end {
            return None;
        }
        self.now = next.at.0;
        Some(next.event)
    }
}
