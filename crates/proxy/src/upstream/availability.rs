//! Tracks whether an endpoint accepts new requests.

use std::cell::Cell;

/// Whether an endpoint accepts new requests, according to discovery and the operators.
#[derive(Default)]
pub(super) struct Availability {
    /// Whether the endpoint is draining, removed or replaced.
    closed: Cell<bool>,
    /// Whether an operator has put the endpoint into maintenance.
    in_maintenance: Cell<bool>,
}

impl Availability {
    pub(super) fn set_closed(&self, closed: bool) {
        self.closed.set(closed);
    }

    pub(super) fn set_in_maintenance(&self, in_maintenance: bool) {
        self.in_maintenance.set(in_maintenance);
    }

    /// Whether new requests may be sent to the endpoint.
    pub(super) fn is_open(&self) -> bool {
        !self.closed.get() && !self.in_maintenance.get()
    }
}
