//! The limits on sockets of clients and backends, and on requests in flight.

use std::rc::Rc;

use crate::handover::Handover;

/// One socket in so many is reserved for backends, or clients and backends together would exceed the limit.
const BACKEND_DIVISOR: usize = 4;
/// The part of the sockets that may have requests in flight at once, as a fraction.
const IN_FLIGHT_NUMERATOR: usize = 5;
const IN_FLIGHT_DENOMINATOR: usize = 8;

/// The limit on sockets for clients and backends together.
pub struct SocketLimits {
    /// While this process runs alone.
    pub alone: usize,
    /// While another process of this proxy runs beside this one.
    pub overlapping: usize,
    /// Knows whether another process runs; `None` if there is no handover.
    pub handover: Option<Rc<Handover>>,
}

impl SocketLimits {
    /// The sockets that this process may use at present.
    pub(super) fn current(&self) -> usize {
        let overlaps = self.handover.as_ref().is_some_and(|handover| handover.has_overlap());
        if overlaps { self.overlapping } else { self.alone }
    }

    /// Requests that may be in flight at present.
    pub(super) fn max_in_flight(&self) -> usize {
        self.current() / IN_FLIGHT_DENOMINATOR * IN_FLIGHT_NUMERATOR
    }

    /// Connections of clients that may be open at present, with so many sockets of backends in use. While another
    /// process shares the limit, older connections to backends may exceed the reserved part.
    pub(super) fn max_clients(&self, backends_in_use: usize) -> usize {
        let sockets = self.current();
        let reserved = sockets / BACKEND_DIVISOR;
        sockets.saturating_sub(backends_in_use.max(reserved))
    }

    /// The sockets reserved for backends.
    pub fn max_backends(&self) -> usize {
        self.alone / BACKEND_DIVISOR
    }
}
