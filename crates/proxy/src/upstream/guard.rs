//! The check at the point of no return: whether a request's first byte may be written.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use leadrelay_core::Invariant;
use tokio::time::Instant;

use super::endpoint::Upstream;
use super::message::Outgoing;

/// What has become of a request while its attempts are in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestState {
    /// It has no answer yet.
    Pending,
    /// It has its answer.
    Answered,
    /// Its client has disconnected or has stopped waiting.
    Abandoned,
}

/// For so long a process may be held up between reading its clock and writing. Deadlines and the time for which a list is
/// valid allow for that.
const HOLD_MOST: Duration = Duration::from_millis(150);

/// Why the first byte of a request may not be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Denial {
    /// The server list may be out of date.
    ListStale,
    /// The backend takes nothing new.
    OutOfService,
    /// The request has its answer, or is given up.
    RequestClosed,
    /// The client has disconnected.
    ClientDisconnected,
    /// It may have run before, and its repeat is no longer dropped.
    RepeatWindowOver,
}

impl Denial {
    /// All of them.
    pub const ALL: [Denial; 5] = [
        Denial::ListStale,
        Denial::OutOfService,
        Denial::RequestClosed,
        Denial::ClientDisconnected,
        Denial::RepeatWindowOver,
    ];

    /// Its name in figures and logs.
    pub fn name(self) -> &'static str {
        match self {
            Denial::ListStale => "list_stale",
            Denial::OutOfService => "out_of_service",
            Denial::RequestClosed => "request_closed",
            Denial::ClientDisconnected => "client_disconnected",
            Denial::RepeatWindowOver => "repeat_window_over",
        }
    }

    /// The invariant that a send would break.
    fn invariant(self) -> Invariant {
        match self {
            Denial::ListStale => Invariant::ListCurrent,
            Denial::OutOfService => Invariant::BackendInService,
            Denial::RequestClosed | Denial::ClientDisconnected => Invariant::RequestOpen,
            Denial::RepeatWindowOver => Invariant::RepeatAllowed,
        }
    }
}

/// What must hold when the first byte of a request is written. Each part may have changed while the connection was
/// being opened.
pub(super) struct SendGuard {
    /// Until when the list of backends may be used.
    pub(super) list_valid_until: Rc<Cell<Instant>>,
    pub(super) endpoint: Rc<Upstream>,
    pub(super) state: Rc<Cell<RequestState>>,
    pub(super) outgoing: Rc<Outgoing>,
    /// When it may begin no more, if it repeats an attempt that may have run.
    pub(super) begin_by: Option<Instant>,
    /// When the time is over that the backend is told of, if that has begun.
    pub(super) told_deadline: Option<Instant>,
    /// When the request was prepared, from which the backend's time is reckoned.
    pub(super) prepared_at: Instant,
}

impl SendGuard {
    /// Why the request may not be sent: the list is not valid, the backend takes no work, the request is not pending,
    /// its client not connected, or its repeat no longer dropped.
    ///
    /// The client's own socket is asked as well: the driver may hear of a client that disconnects while the
    /// connection comes up only after the first byte.
    pub(super) fn denial(&self) -> Option<Denial> {
        if Instant::now() >= self.list_valid_until.get() {
            Some(Denial::ListStale)
        } else if !self.endpoint.is_open() {
            Some(Denial::OutOfService)
        } else if self.state.get() != RequestState::Pending {
            Some(Denial::RequestClosed)
        } else if (self.outgoing.client_disconnected)() {
            Some(Denial::ClientDisconnected)
        } else if self.begin_by.is_some_and(|begin_by| Instant::now() >= begin_by) {
            Some(Denial::RepeatWindowOver)
        } else {
            None
        }
    }

    /// The invariants that a first byte breaks which has just been written. The process may have been held up since
    /// the guard was asked, and something may have written past it.
    pub(super) fn violations(&self) -> impl Iterator<Item = Invariant> + use<> {
        let late = self.prepared_at.elapsed() > HOLD_MOST;
        let denied = self.denial().filter(|denial| match denial {
            Denial::OutOfService | Denial::RequestClosed => true,
            Denial::ListStale | Denial::RepeatWindowOver => late,
            Denial::ClientDisconnected => false,
        });
        let told_too_much = late && self.told_deadline.is_some_and(|deadline| Instant::now() < deadline);
        denied
            .map(Denial::invariant)
            .into_iter()
            .chain(told_too_much.then_some(Invariant::DeadlinePropagated))
    }
}
