//! What a proxy must never do, whatever happens to it, and how often it has done so all the same.
//!
//! Each invariant has one guard where the step can't be undone, in the core for decisions and at the socket for bytes.
//! What passes a guard and breaks the invariant is counted beside it: such a count is a fault of this program.

/// A rule about a proxy's own conduct.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Invariant {
    /// Nothing is sent to a backend that drains, has left the list or is in maintenance.
    BackendInService,
    /// Nothing is sent by a server list that may lack a change which counts as known.
    ListCurrent,
    /// Nothing is sent for a request that has its answer or whose client has left.
    RequestOpen,
    /// No request has two attempts out at once.
    SingleAttempt,
    /// A request that may have run is sent again only to where its repeat is dropped, and while it is.
    RepeatAllowed,
    /// A backend that is still cold gets no more than its budget.
    SlowStart,
    /// The time told to a backend is no longer than what the client has left.
    DeadlinePropagated,
    /// A final answer is given in time.
    AnsweredInTime,
    /// A connection is closed only once the request that was read on it has its answer.
    AnsweredBeforeClose,
}

impl Invariant {
    /// How many there are.
    pub const COUNT: usize = Invariant::AnsweredBeforeClose as usize + 1;

    /// All of them.
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

    /// Its name in figures and logs.
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

/// How often each invariant was broken, in the order of [`Invariant::ALL`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Violations([u64; Invariant::COUNT]);

impl Violations {
    /// Counts one.
    pub fn record(&mut self, invariant: Invariant) {
        self.0[invariant as usize] += 1;
    }

    /// How often an invariant was broken.
    pub fn count(&self, invariant: Invariant) -> u64 {
        self.0[invariant as usize]
    }

    /// How often any was.
    pub fn total(&self) -> u64 {
        self.0.iter().sum()
    }
}
