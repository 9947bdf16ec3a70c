//! How servers are treated, and other figures of a proxy at one moment.

use crate::invariant::Violations;

/// How a listed server is treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// It gets requests.
    InUse,
    /// It has just started and gets what its budget allows.
    Cold,
    /// It is back from a closing and gets one request at a time until it has proved itself.
    Trial,
    /// Closed after failures or silence.
    Ill,
    /// Closed as it turned requests away.
    Full,
    /// Other proxies hold it for ill, and it has answered nothing here of late.
    Blamed,
    /// The list says that it drains.
    Draining,
    /// Taken out of use by an operator.
    Maintenance,
}

impl EndpointStatus {
    /// All of them.
    pub const ALL: [EndpointStatus; 8] = [
        EndpointStatus::InUse,
        EndpointStatus::Cold,
        EndpointStatus::Trial,
        EndpointStatus::Ill,
        EndpointStatus::Full,
        EndpointStatus::Blamed,
        EndpointStatus::Draining,
        EndpointStatus::Maintenance,
    ];

    /// Its name in figures.
    pub fn name(self) -> &'static str {
        match self {
            EndpointStatus::InUse => "in_use",
            EndpointStatus::Cold => "cold",
            EndpointStatus::Trial => "trial",
            EndpointStatus::Ill => "ill",
            EndpointStatus::Full => "full",
            EndpointStatus::Blamed => "blamed",
            EndpointStatus::Draining => "draining",
            EndpointStatus::Maintenance => "maintenance",
        }
    }

    /// Whether such a server gets nothing at all.
    pub fn is_avoided(self) -> bool {
        !matches!(self, EndpointStatus::InUse | EndpointStatus::Cold | EndpointStatus::Trial)
    }
}

/// What the two-speed threshold decided at looks at waiting requests, counted from the start: sent as nothing faster
/// was worth waiting for, sent as the queue had outgrown τ, sent near the aim, held for a faster server.
pub type Choices = [u64; 4];

/// Places in [`Choices`].
pub(crate) const AT_ONCE: usize = 0;
pub(crate) const PAST_THRESHOLD: usize = 1;
pub(crate) const URGENT: usize = 2;
pub(crate) const HELD: usize = 3;

/// What holds now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Gauges {
    /// Listed servers by how they are treated, in the order of [`EndpointStatus::ALL`].
    pub standings: [usize; EndpointStatus::ALL.len()],
    /// Whether requests may be sent by the server list that is held.
    pub list_valid: bool,
    /// Requests in the proxy's own queue.
    pub waiting: usize,
    /// Requests with an attempt out.
    pub running: usize,
    /// Further attempts that the budget allows.
    pub retry_budget: f64,
    /// What the threshold has decided.
    pub choices: Choices,
    /// How often a decision would have broken an invariant.
    pub violations: Violations,
}
