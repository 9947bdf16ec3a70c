//! The rate at which requests arrive.

use crate::ids::Millis;
use crate::schedule::TICK;

/// The duration over which the arrival rate is averaged.
pub(crate) const AVERAGING_TIME: Millis = 2000.0;
/// The shortest duration over which arrivals are counted before the average is updated.
const MIN_COUNTING_TIME: Millis = 10.0 * TICK;

/// An exponentially weighted moving average of the arrival rate.
#[derive(Default)]
pub(crate) struct ArrivalRate {
    /// Arrivals since the last update.
    count: f64,
    updated_at: Millis,
    /// The average rate, in requests per millisecond; 0 before the first update.
    per_ms: f64,
}

impl ArrivalRate {
    /// Starts counting arrivals.
    pub fn start(&mut self, now: Millis) {
        self.updated_at = now;
    }

    /// Counts an arriving request.
    pub fn record(&mut self) {
        self.count += 1.0;
    }

    /// The average arrival rate, in requests per millisecond.
    pub fn per_ms(&self) -> f64 {
        self.per_ms
    }

    /// Adds the counted arrivals to the average once they cover `MIN_COUNTING_TIME`.
    pub fn update(&mut self, now: Millis) {
        let elapsed = now - self.updated_at;
        if elapsed < MIN_COUNTING_TIME {
            return;
        }
        let is_first = self.per_ms == 0.0;
        let gain = if is_first { 1.0 } else { 1.0 - (-elapsed / AVERAGING_TIME).exp() };
        self.per_ms += gain * (self.count / elapsed - self.per_ms);
        self.count = 0.0;
        self.updated_at = now;
    }
}
