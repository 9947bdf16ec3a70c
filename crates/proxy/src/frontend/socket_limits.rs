//! Limits on the sockets of clients and backends, and on requests in flight.

use std::rc::Rc;

use crate::handover::Handover;

/// One in this many sockets is reserved for backends; otherwise clients and backends together would exceed the limit.
const BACKEND_DIVISOR: usize = 4;
/// Numerator of the fraction of the sockets that may have a request in flight at the same time.
const IN_FLIGHT_NUMERATOR: usize = 5;
/// Denominator of that fraction.
const IN_FLIGHT_DENOMINATOR: usize = 8;

/// The limits on the sockets of clients and backends together.
pub struct SocketLimits {
    /// Maximum number of sockets while this is the only process of the proxy.
    pub without_overlap: usize,
    /// Maximum number of sockets while another process of this proxy runs too, during a handover.
    pub with_overlap: usize,
    /// The handover state, which shows whether another process runs; `None` if handover is not configured.
    pub handover: Option<Rc<Handover>>,
}

impl SocketLimits {
    /// The number of sockets that this process may use at present.
    pub(super) fn current(&self) -> usize {
        let overlaps = self.handover.as_ref().is_some_and(|handover| handover.has_overlap());
        if overlaps { self.with_overlap } else { self.without_overlap }
    }

    /// The number of requests that may be in flight at present.
    pub(super) fn max_in_flight(&self) -> usize {
        self.current() / IN_FLIGHT_DENOMINATOR * IN_FLIGHT_NUMERATOR
    }

    /// The number of client connections that may be open at present, while `backends_in_use` sockets are in use for
    /// backends. These can be more than the reserved part: while another process shares the limit, the connections to
    /// backends that were opened before may exceed it.
    pub(super) fn max_client_sockets(&self, backends_in_use: usize) -> usize {
        let sockets = self.current();
        let reserved = sockets / BACKEND_DIVISOR;
        sockets.saturating_sub(backends_in_use.max(reserved))
    }

    /// The number of sockets reserved for backends while this is the only process.
    pub fn max_backend_sockets(&self) -> usize {
        self.without_overlap / BACKEND_DIVISOR
    }
}
