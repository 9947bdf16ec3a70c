//! The socket side of an endpoint (one backend process), with its idle connections.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use super::availability::Availability;
use super::connection::Connection;
use crate::close_reason::BackendCloseReason;

/// How long a released connection is not reused if the endpoint has another idle one. A backend that sends a second
/// response to one request does so within this time.
const REUSE_DELAY: Duration = Duration::from_millis(20);

/// One backend process at one address. A restarted process or a new address gets a new `UpstreamEndpoint`.
pub struct UpstreamEndpoint {
    /// The address on which the process accepts connections.
    pub address: SocketAddr,
    /// When the process started according to discovery, in Unix milliseconds.
    pub started_unix_ms: f64,
    availability: Rc<Availability>,
    /// The idle connections, longest idle first.
    idle: RefCell<Vec<IdleConnection>>,
}

/// A connection that carries no request at present.
pub(super) struct IdleConnection {
    pub(super) connection: Connection,
    pub(super) idle_since: Instant,
}

impl UpstreamEndpoint {
    /// Creates an open endpoint without connections.
    pub fn new(address: SocketAddr, started_unix_ms: f64) -> Rc<Self> {
        Rc::new(UpstreamEndpoint {
            address,
            started_unix_ms,
            availability: Rc::default(),
            idle: RefCell::default(),
        })
    }

    /// Sets whether new requests may be sent to the endpoint according to discovery. Closing the endpoint closes its
    /// idle connections.
    pub fn set_open(&self, open: bool) {
        self.availability.set_closed(!open);
        if !open {
            self.close_idle_if(BackendCloseReason::OutOfService, |_| true);
        }
    }

    /// Starts or ends maintenance. While in maintenance, the endpoint is out of service regardless of discovery.
    pub fn set_in_maintenance(&self, in_maintenance: bool) {
        self.availability.set_in_maintenance(in_maintenance);
        if in_maintenance {
            self.close_idle_if(BackendCloseReason::OutOfService, |_| true);
        }
    }

    /// Whether new requests may be sent to the endpoint.
    pub fn is_open(&self) -> bool {
        self.availability.is_open()
    }

    /// The shared availability, which the guards of requests to this endpoint read.
    pub(super) fn availability(&self) -> &Rc<Availability> {
        &self.availability
    }

    /// Closes the idle connections for which `should_close` returns true, and records `reason` as the cause.
    pub(super) fn close_idle_if(
        &self, reason: BackendCloseReason, should_close: impl Fn(&IdleConnection) -> bool,
    ) {
        self.idle.borrow_mut().retain(|idle| {
            let is_closed = should_close(idle);
            if is_closed {
                idle.connection.close_reason.set(reason);
            }
            !is_closed
        });
    }

    /// When the longest idle connection became idle; `None` without idle connections.
    pub(super) fn longest_idle_since(&self) -> Option<Instant> {
        self.idle.borrow().first().map(|idle| idle.idle_since)
    }

    /// Closes the longest idle connection, because another connection needs its socket.
    pub(super) fn evict_longest_idle(&self) {
        let mut connections = self.idle.borrow_mut();
        if connections.is_empty() {
            return;
        }
        let evicted = connections.remove(0);
        evicted.connection.close_reason.set(BackendCloseReason::Evicted);
    }

    /// Adds a connection to the idle ones, for a later request.
    pub(super) fn put_idle(&self, connection: Connection) {
        let idle = IdleConnection { connection, idle_since: Instant::now() };
        self.idle.borrow_mut().push(idle);
    }

    /// Removes and returns the idle connection to use next.
    pub(super) fn take_idle(&self) -> Option<IdleConnection> {
        let mut connections = self.idle.borrow_mut();
        let index = choose_idle(connections.iter().map(|idle| idle.idle_since.elapsed()))?;
        Some(connections.remove(index))
    }

    /// The number of idle connections.
    #[cfg(test)]
    pub(super) fn idle_connections(&self) -> usize {
        self.idle.borrow().len()
    }
}

/// Returns the index of the idle connection to use next. `idle_times` is how long each has been idle, longest first.
///
/// The backend is least likely to have closed the most recently used connection, but a second response may still
/// arrive there. So this chooses the most recently used connection that has been idle for at least `REUSE_DELAY`, or
/// the longest idle one if there is none.
pub(super) fn choose_idle(
    idle_times: impl DoubleEndedIterator<Item = Duration> + ExactSizeIterator,
) -> Option<usize> {
    let longest_idle = (idle_times.len() > 0).then_some(0);
    let past_delay = idle_times.enumerate().rev().find(|(_, idle)| *idle >= REUSE_DELAY);
    past_delay.map(|(index, _)| index).or(longest_idle)
}
