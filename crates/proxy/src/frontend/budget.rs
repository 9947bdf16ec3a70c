//! The budget of sockets, shared by clients and backends.

use std::rc::Rc;

use crate::handover::Handover;

/// One socket in so many is reserved for backends, or clients and backends together would exceed the budget.
pub(super) const BACKEND_SHARE: usize = 4;
/// Numerator and denominator of the share of the budget that may have requests in flight at once.
const IN_FLIGHT_SHARE: (usize, usize) = (5, 8);

/// Sockets for clients and backends together.
pub struct Budget {
    pub whole: usize,
    /// While another process of this proxy runs beside this one.
    pub shared: usize,
    pub handover: Option<Rc<Handover>>,
}

impl Budget {
    /// The sockets that this process may use at present.
    pub(super) fn now(&self) -> usize {
        if self.handover.as_ref().is_some_and(|handover| handover.has_overlap()) {
            self.shared
        } else {
            self.whole
        }
    }

    /// Requests that may be in flight at present.
    pub(super) fn max_in_flight(&self) -> usize {
        let (numerator, denominator) = IN_FLIGHT_SHARE;
        self.now() / denominator * numerator
    }

    /// The sockets reserved for backends.
    pub fn backends(&self) -> usize {
        self.whole / BACKEND_SHARE
    }
}
