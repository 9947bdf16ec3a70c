//! The socket side of one endpoint: a process of a backend, with its idle connections.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use super::availability::Availability;
use super::connection::Connection;
use crate::close_reason::BackendClose;

/// An idle connection is not reused for this time while there is another: a backend that sends a second response does
/// so by then.
const REUSE_DELAY: Duration = Duration::from_millis(20);

/// One process of a backend at one address. A restart or a new address makes a new upstream endpoint.
pub struct UpstreamEndpoint {
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// When the process started, as discovery says.
    pub born_ms: f64,
    availability: Rc<Availability>,
    /// Longest idle first.
    idle: RefCell<Vec<IdleConnection>>,
}

/// A connection without a request.
pub(super) struct IdleConnection {
    pub(super) connection: Connection,
    pub(super) since: Instant,
}

impl UpstreamEndpoint {
    /// An open endpoint without connections.
    pub fn new(address: SocketAddr, born_ms: f64) -> Rc<Self> {
        Rc::new(UpstreamEndpoint { address, born_ms, availability: Rc::default(), idle: RefCell::default() })
    }

    /// Sets whether new requests may be sent to it, by discovery. Closing it closes its idle connections.
    pub fn set_open(&self, open: bool) {
        self.availability.set_closed(!open);
        if !open {
            self.close_idle_if(BackendClose::OutOfService, |_| true);
        }
    }

    /// Takes it out of service whatever discovery says, or puts it back.
    pub fn set_in_maintenance(&self, in_maintenance: bool) {
        self.availability.set_in_maintenance(in_maintenance);
        if in_maintenance {
            self.close_idle_if(BackendClose::OutOfService, |_| true);
        }
    }

    /// Whether new requests may be sent to it.
    pub fn is_open(&self) -> bool {
        self.availability.is_open()
    }

    /// Whether new requests may be sent to it, as its requests' guards look it up.
    pub(super) fn availability(&self) -> &Rc<Availability> {
        &self.availability
    }

    /// Closes the idle connections to which `unwanted` applies, for this reason.
    pub(super) fn close_idle_if(&self, reason: BackendClose, unwanted: impl Fn(&IdleConnection) -> bool) {
        self.idle.borrow_mut().retain(|idle| {
            let closes = unwanted(idle);
            if closes {
                idle.connection.close_reason.set(reason);
            }
            !closes
        });
    }

    /// Since when its longest idle connection has been idle, if it has any.
    pub(super) fn longest_idle_since(&self) -> Option<Instant> {
        self.idle.borrow().first().map(|idle| idle.since)
    }

    /// Closes its longest idle connection, as another one needs the socket.
    pub(super) fn evict_longest_idle(&self) {
        let mut connections = self.idle.borrow_mut();
        if connections.is_empty() {
            return;
        }
        let evicted = connections.remove(0);
        evicted.connection.close_reason.set(BackendClose::Evicted);
    }

    /// Keeps a connection for a later request.
    pub(super) fn put_idle(&self, connection: Connection) {
        let idle = IdleConnection { connection, since: Instant::now() };
        self.idle.borrow_mut().push(idle);
    }

    /// Removes the idle connection to use next.
    pub(super) fn take_idle(&self) -> Option<IdleConnection> {
        let mut connections = self.idle.borrow_mut();
        let chosen = choose_idle(connections.iter().map(|idle| idle.since.elapsed()))?;
        Some(connections.remove(chosen))
    }

    /// How many idle connections it has.
    #[cfg(test)]
    pub(super) fn idle_connections(&self) -> usize {
        self.idle.borrow().len()
    }
}

/// Which idle connection to use next, by how long each has been idle, the longest first.
///
/// The one used last is the least likely to have been closed, but a second response may still be on its way there: so
/// the last one past `REUSE_DELAY`, and if none is, the one that has been idle longest.
pub(super) fn choose_idle(
    idle_times: impl DoubleEndedIterator<Item = Duration> + ExactSizeIterator,
) -> Option<usize> {
    let longest_idle = (idle_times.len() > 0).then_some(0);
    let rested = idle_times.enumerate().rev().find(|(_, idle)| *idle >= REUSE_DELAY);
    rested.map(|(index, _)| index).or(longest_idle)
}
