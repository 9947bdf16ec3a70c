//! The schedule of periodic work, counted in ticks of one timer.

use crate::endpoints::EndpointIndex;
use crate::ids::Millis;

/// Time between two checks of waiting and running requests. It is within the tolerance of the rules on deadlines.
pub(crate) const TICK: Millis = 20.0;
/// Number of ticks between two reviews of all endpoints.
const TICKS_PER_REVIEW: u64 = 5;
/// Time between two reviews of all endpoints.
pub(crate) const REVIEW_INTERVAL: Millis = TICKS_PER_REVIEW as f64 * TICK;
/// Number of reviews over which the recomputation of slots is spread: each review resizes one in this many endpoints,
/// because slots change slowly.
const RESIZE_TURNS: u64 = 8;

/// Counts the ticks of the periodic timer.
#[derive(Default)]
pub(crate) struct Schedule {
    ticks: u64,
}

impl Schedule {
    /// Whether the first event has been handled.
    pub fn is_started(&self) -> bool {
        self.ticks > 0
    }

    /// Counts a tick; the start of the process counts as the first.
    pub fn advance(&mut self) {
        self.ticks += 1;
    }

    /// Whether all endpoints are reviewed in this tick.
    pub fn is_review_due(&self) -> bool {
        self.ticks.is_multiple_of(TICKS_PER_REVIEW)
    }

    /// The number of the current review interval. It seeds hashed choices, which therefore change with each interval.
    pub fn epoch(&self) -> u64 {
        self.ticks / TICKS_PER_REVIEW
    }

    /// Whether the slots of an endpoint are recomputed in this review.
    pub fn is_resize_turn(&self, endpoint: EndpointIndex) -> bool {
        endpoint.as_usize() as u64 % RESIZE_TURNS == self.epoch() % RESIZE_TURNS
    }
}
