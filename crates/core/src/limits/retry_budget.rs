//! Limits retries to a fraction of the requests, so that failures don't multiply the load.

/// Number of retries that each arriving request adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.15;
/// Upper bound of the budget, in retries.
const MAX_RETRIES: f64 = 20.0;
/// The budget at process start, in retries.
const INITIAL_RETRIES: f64 = 2.0;

/// The number of retries that may still be made; arriving requests add to it.
pub(crate) struct RetryBudget {
    retries: f64,
}

impl RetryBudget {
    pub fn new() -> Self {
        RetryBudget { retries: INITIAL_RETRIES }
    }

    /// Adds to the budget for a request that has arrived.
    pub fn refill(&mut self) {
        self.retries = (self.retries + RETRIES_PER_REQUEST).min(MAX_RETRIES);
    }

    /// Whether the budget covers this number of retries.
    pub fn covers(&self, retries: f64) -> bool {
        self.retries >= retries
    }

    /// Takes this number of retries from the budget.
    pub fn spend(&mut self, retries: f64) {
        self.retries -= retries;
    }

    /// Number of retries left in the budget.
    pub fn remaining(&self) -> f64 {
        self.retries
    }
}
