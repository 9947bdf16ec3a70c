//! Units of time, and a time type with a total order.

use std::cmp::Ordering;

use leadrelay_core::Millis;

/// Milliseconds in a second.
pub const MS_PER_S: f64 = 1000.0;

/// A point in time with a total order, for use in a heap.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OrderedTime(pub Millis);

impl Eq for OrderedTime {}

impl Ord for OrderedTime {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl PartialOrd for OrderedTime {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
