//! One process of a backend, with its idle connections.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use super::connection::Connection;
use crate::close_reason::BackendClose;

/// An idle connection is not reused for this span while there is another: a backend that answers twice does so by
/// then.
const REUSE_DELAY: Duration = Duration::from_millis(20);

/// One process of a backend at one address. A restart or a new address makes a new endpoint.
pub struct Upstream {
    pub address: SocketAddr,
    pub born_ms: f64,
    /// Draining, gone or replaced: nothing new is sent to it.
    closed: Cell<bool>,
    /// Taken out of use by an operator.
    banned: Cell<bool>,
    /// Longest idle first.
    pub(super) idle: RefCell<Vec<IdleConnection>>,
}

/// A connection without a request.
pub(super) struct IdleConnection {
    pub(super) connection: Connection,
    pub(super) since: Instant,
}

impl Upstream {
    /// An open endpoint without connections.
    pub fn new(address: SocketAddr, born_ms: f64) -> Rc<Self> {
        Rc::new(Upstream {
            address,
            born_ms,
            closed: Cell::new(false),
            banned: Cell::new(false),
            idle: RefCell::default(),
        })
    }

    /// Sets whether new requests may be sent to it. Closing drops its idle connections.
    pub fn set_open(&self, open: bool) {
        self.closed.set(!open);
        if !open {
            self.close_idle(BackendClose::OutOfService, |_| true);
        }
    }

    /// Takes it out of use, whatever discovery says, or puts it back.
    pub fn set_banned(&self, banned: bool) {
        self.banned.set(banned);
        if banned {
            self.close_idle(BackendClose::OutOfService, |_| true);
        }
    }

    /// Whether new requests may be sent to it.
    pub fn is_open(&self) -> bool {
        !self.closed.get() && !self.banned.get()
    }

    /// Closes the idle connections that are no longer wanted, for this reason.
    pub(super) fn close_idle(&self, reason: BackendClose, unwanted: impl Fn(&IdleConnection) -> bool) {
        self.idle.borrow_mut().retain(|idle| {
            let closes = unwanted(idle);
            if closes {
                idle.connection.close_reason.set(reason);
            }
            !closes
        });
    }

    /// Removes the idle connection to use next.
    pub(super) fn take_idle(&self) -> Option<IdleConnection> {
        let mut idle = self.idle.borrow_mut();
        let chosen = choose_idle(idle.iter().map(|idle| idle.since.elapsed()))?;
        Some(idle.remove(chosen))
    }
}

/// Which idle connection to use next, by how long each has been idle, the longest first.
///
/// The one used last is the least likely to have been closed, but a second answer may still be on its way there: so
/// the last one past `REUSE_DELAY`, and if none is, the one that has been idle longest.
pub(super) fn choose_idle(
    idle_times: impl DoubleEndedIterator<Item = Duration> + ExactSizeIterator,
) -> Option<usize> {
    let longest_idle = (idle_times.len() > 0).then_some(0);
    let rested = idle_times.enumerate().rev().find(|(_, idle)| *idle >= REUSE_DELAY);
    rested.map(|(index, _)| index).or(longest_idle)
}
