//! The last check before a request's first byte is written. From that byte on the request can't be taken back.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use leadrelay_core::Invariant;
use tokio::time::Instant;

use super::availability::Availability;
use super::request::UpstreamRequest;
use super::request_state::{RequestState, SharedRequestState};
use crate::denial::Denial;

/// Longest tolerated pause of the process between reading the clock and writing. Deadlines and the validity of the
/// endpoint list allow for this pause.
const MAX_PROCESS_PAUSE: Duration = Duration::from_millis(150);

/// The conditions under which the first byte of a request may be written. Each of them may have changed while the
/// connection was being opened.
pub(super) struct SendGuard {
    /// When the endpoint list expires.
    pub(super) list_valid_until: Rc<Cell<Instant>>,
    /// Whether the endpoint accepts new requests.
    pub(super) availability: Rc<Availability>,
    /// Whether the request still needs a response.
    pub(super) state: Rc<SharedRequestState>,
    /// The request, which provides its id and the check of its client.
    pub(super) request: Rc<UpstreamRequest>,
    /// The instant from which the attempt may no longer start: the end of the request's idempotency window. Set if an
    /// earlier attempt of the request may have run.
    pub(super) start_by: Option<Instant>,
    /// The deadline propagated to the backend, if it is known before the first byte.
    pub(super) propagated_deadline: Option<Instant>,
    /// When the request was prepared. The timeout propagated to the backend starts then.
    pub(super) prepared_at: Instant,
}

impl SendGuard {
    /// Returns why the request may not be sent, or `None` if it may.
    ///
    /// The client's socket is checked too: if the client disconnects while the connection is being opened, the driver
    /// may be notified only after the first byte has been written.
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
            Some(Denial::IdempotencyWindowExpired)
        } else {
            None
        }
    }

    /// Returns the invariants that are violated by the first byte, which has just been written. Violations occur if the
    /// process was paused between the check and the write, or if the byte was written without a check.
    pub(super) fn violations(&self) -> impl Iterator<Item = Invariant> + use<> {
        let was_paused = self.prepared_at.elapsed() > MAX_PROCESS_PAUSE;
        let denial = self.denial().filter(|denial| is_violation(*denial, was_paused));
        let propagated_too_late =
            was_paused && self.propagated_deadline.is_some_and(|at| Instant::now() < at);
        denial
            .map(Denial::invariant)
            .into_iter()
            .chain(propagated_too_late.then_some(Invariant::DeadlinePropagated))
    }
}

/// Whether a denial just after the first byte was written proves a violation. Time passes between the check and the
/// write: an expiry in between is a violation only if the process was paused, and the client may disconnect in between.
fn is_violation(denial: Denial, was_paused: bool) -> bool {
    match denial {
        Denial::OutOfService | Denial::RequestClosed => true,
        Denial::ListStale | Denial::IdempotencyWindowExpired => was_paused,
        Denial::ClientDisconnected => false,
    }
}
