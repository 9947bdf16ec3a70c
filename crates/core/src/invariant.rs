//! The invariants that a proxy must keep under all circumstances, and counts of their violations.
//!
//! Each invariant is checked by one guard at the point after which a step can't be undone: in the core for decisions,
//! and at the socket for bytes. A step that passes its guard and still violates the invariant is counted there. Such a
//! count indicates a bug in this program.

/// A rule for the behavior of a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Invariant {
    /// Nothing is sent to a backend that is draining, has left the endpoint list or is in maintenance.
    BackendInService,
    /// Nothing is sent on the basis of an endpoint list that may lack a change that counts as notified.
    ListCurrent,
    /// Nothing is sent for a request that has been answered or whose client has disconnected.
    RequestOpen,
    /// No request has two attempts in flight at once.
    SingleAttempt,
    /// A request that may have been executed is sent again only to endpoints that deduplicate it, and only for as long
    /// as they do; an idempotent request may always be sent again.
    RepeatAllowed,
    /// A backend in slow start gets no more requests than its slow-start budget allows.
    SlowStart,
    /// The timeout sent to a backend is no longer than the time for which the client still waits.
    DeadlinePropagated,
    /// A final response is sent before the request's deadline.
    AnsweredInTime,
    /// A client connection is closed only after the request that was read from it has been answered.
    AnsweredBeforeClose,
}

impl Invariant {
    /// The number of invariants.
    pub const COUNT: usize = Invariant::AnsweredBeforeClose as usize + 1;

    /// All invariants, in the order of declaration.
    pub const ALL: [Invariant; Invariant::COUNT] = [
        Invariant::BackendInService,
        Invariant::ListCurrent,
        Invariant::RequestOpen,
        Invariant::SingleAttempt,
        Invariant::RepeatAllowed,
        Invariant::SlowStart,
        Invariant::DeadlinePropagated,
        Invariant::AnsweredInTime,
        Invariant::AnsweredBeforeClose,
    ];

    /// The name of the invariant in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Invariant::BackendInService => "backend_in_service",
            Invariant::ListCurrent => "list_current",
            Invariant::RequestOpen => "request_open",
            Invariant::SingleAttempt => "single_attempt",
            Invariant::RepeatAllowed => "repeat_allowed",
            Invariant::SlowStart => "slow_start",
            Invariant::DeadlinePropagated => "deadline_propagated",
            Invariant::AnsweredInTime => "answered_in_time",
            Invariant::AnsweredBeforeClose => "answered_before_close",
        }
    }
}

/// The number of violations of each invariant, in the order of [`Invariant::ALL`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Violations([u64; Invariant::COUNT]);

impl Violations {
    /// Counts a violation of an invariant.
    pub fn record(&mut self, invariant: Invariant) {
        self.0[invariant as usize] += 1;
    }

    /// The number of violations of an invariant.
    pub fn count(&self, invariant: Invariant) -> u64 {
        self.0[invariant as usize]
    }

    /// The number of violations of all invariants together.
    pub fn total(&self) -> u64 {
        self.0.iter().sum()
    }
}
