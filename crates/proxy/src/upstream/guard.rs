//! The check at the point of no return: whether a request's first byte may be written.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use leadrelay_core::Invariant;
use tokio::time::Instant;

use super::availability::Availability;
use super::request::UpstreamRequest;
use super::request_state::RequestState;
use crate::denial::Denial;

/// Longest pause of the process between reading the clock and writing. Deadlines and the validity of the endpoint list
/// include it.
const MAX_PROCESS_PAUSE: Duration = Duration::from_millis(150);

/// What must hold when the first byte of a request is written. Each part may have changed while the connection was
/// being opened.
pub(super) struct SendGuard {
    /// Until when the endpoint list may be used.
    pub(super) list_valid_until: Rc<Cell<Instant>>,
    /// Whether the endpoint accepts new requests.
    pub(super) availability: Rc<Availability>,
    /// Whether the request still needs a response.
    pub(super) state: Rc<Cell<RequestState>>,
    /// The request, for its id and its client.
    pub(super) request: Rc<UpstreamRequest>,
    /// Until when the attempt may start, if it repeats one that may have run.
    pub(super) start_by: Option<Instant>,
    /// The deadline that the backend is sent, if it is known before the first byte.
    pub(super) propagated_deadline: Option<Instant>,
    /// When the request was prepared; the backend's timeout counts from here.
    pub(super) prepared_at: Instant,
}

impl SendGuard {
    /// Why the request may not be sent, if it may not.
    ///
    /// The client's own socket is checked too: the driver may hear of a client that disconnects while the connection
    /// is being opened only after the first byte.
    pub(super) fn denial(&self) -> Option<Denial> {
        if Instant::now() >= self.list_valid_until.get() {
            Some(Denial::ListStale)
        } else if !self.availability.is_open() {
            Some(Denial::OutOfService)
        } else if self.state.get() != RequestState::Pending {
            Some(Denial::RequestClosed)
        } else if (self.request.client_disconnected)() {
            Some(Denial::ClientDisconnected)
        } else if self.start_by.is_some_and(|start_by| Instant::now() >= start_by) {
            Some(Denial::IdempotencyWindowOver)
        } else {
            None
        }
    }

    /// The invariants that a first byte which has just been written violates. The process may have been paused since
    /// the guard was asked, or something may have been written past it.
    pub(super) fn violations(&self) -> impl Iterator<Item = Invariant> + use<> {
        let paused = self.prepared_at.elapsed() > MAX_PROCESS_PAUSE;
        let denial = self.denial().filter(|denial| is_violation(*denial, paused));
        let deadline_too_late = paused && self.propagated_deadline.is_some_and(|at| Instant::now() < at);
        denial
            .map(Denial::invariant)
            .into_iter()
            .chain(deadline_too_late.then_some(Invariant::DeadlinePropagated))
    }
}

/// Whether a denial just after the first byte proves a violation: time passes between the check and the write, and a
/// client may disconnect in between.
fn is_violation(denial: Denial, paused: bool) -> bool {
    match denial {
        Denial::OutOfService | Denial::RequestClosed => true,
        Denial::ListStale | Denial::IdempotencyWindowOver => paused,
        Denial::ClientDisconnected => false,
    }
}
