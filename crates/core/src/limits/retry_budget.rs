//! A budget of retries, so that failures don't multiply the load.

/// Retries that each arriving request adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.15;
/// Retries that may be saved up.
const MAX_RETRIES: f64 = 20.0;
/// Retries at the start.
const INITIAL_RETRIES: f64 = 2.0;

/// The retries that may still be made. Arriving requests fill it.
pub(crate) struct RetryBudget {
    retries: f64,
}

impl RetryBudget {
    pub fn new() -> Self {
        RetryBudget { retries: INITIAL_RETRIES }
    }

    /// A request has arrived.
    pub fn refill(&mut self) {
        self.retries = (self.retries + RETRIES_PER_REQUEST).min(MAX_RETRIES);
    }

    /// Whether there is enough left for so many retries.
    pub fn covers(&self, retries: f64) -> bool {
        self.retries >= retries
    }

    /// Takes so many retries off.
    pub fn spend(&mut self, retries: f64) {
        self.retries -= retries;
    }

    /// Retries left.
    pub fn remaining(&self) -> f64 {
        self.retries
    }
}
