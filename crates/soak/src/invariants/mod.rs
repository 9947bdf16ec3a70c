//! Invariants that proxies have to keep, checked against what was observed.

mod attempts;
mod evidence;
mod requests;
mod slow_start;

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::backend::Backend;
use crate::history::{History, ProcessEvent};
use evidence::Evidence;

pub use slow_start::slow_start_limit;

/// An invariant that can be checked from outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// Each request gets one final response in time.
    Answered,
    /// What may have run is retried only as its class allows.
    NoSecondEffect,
    /// Backends that are out of service get nothing.
    Drained,
    /// Backends in slow start are not overloaded.
    SlowStart,
    /// No attempt begins for a request that its client has cancelled.
    Cancelled,
    /// The time left that a backend is given is at most what the client has left.
    Deadline,
    /// Processes run, start and exit as they should.
    Processes,
    /// The proxy's own count of violations is zero.
    OwnInvariants,
}

/// A violated invariant.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Which.
    pub invariant: Invariant,
    /// When, if that is one moment.
    pub at: Option<Instant>,
    /// What happened.
    pub description: String,
}

impl Violation {
    fn at(invariant: Invariant, at: Instant, description: String) -> Self {
        Violation { invariant, at: Some(at), description }
    }
}

/// For how long a proxy may be held up, and so how late anything may be sent.
const MAX_PAUSE: Duration = Duration::from_millis(150);
/// A response that is later than this counts as lost.
const MAX_RESPONSE_DELAY: Duration = Duration::from_millis(500);
/// An attempt may begin this long after its client has cancelled.
const CANCEL_GRACE: Duration = Duration::from_millis(100);
/// A change that discovery can publish counts as known to proxies after this time.
const NOTIFICATION_TIMEOUT: Duration = Duration::from_secs(6);
/// How long a process may take to exit once it is terminated.
const EXIT_TIMEOUT: Duration = Duration::from_millis(700);

/// Checks all invariants.
pub fn check(history: &History, backends: &[Arc<Backend>]) -> Vec<Violation> {
    let cells = backends.iter().map(|backend| backend.cell).collect();
    let evidence = Evidence::new(history, cells);
    let mut violations = Vec::new();
    for (id, request) in &history.requests {
        violations.extend(requests::check_answered(&evidence, id, request));
        violations.extend(requests::check_single_effect(&evidence, id, request));
    }
    for attempt in &history.attempts {
        violations.extend(attempts::check(&evidence, attempt));
    }
    for start in &history.backend_starts {
        violations.extend(slow_start::check(history, start));
    }
    violations.extend(check_processes(history));
    violations.sort_by_key(|violation| (violation.invariant, violation.at));
    violations
}

fn check_processes(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    for record in &history.processes {
        let (invariant, description) = match &record.event {
            ProcessEvent::Crashed(status) => (Invariant::Processes, format!("ended by itself: {status}")),
            ProcessEvent::OverLimit(usage) => (Invariant::Processes, format!("over its limits: {usage}")),
            ProcessEvent::Logged(line) => (Invariant::OwnInvariants, line.clone()),
            _ => continue,
        };
        let description = format!("proxy {}: {description}", record.proxy);
        violations.push(Violation::at(invariant, record.at, description));
    }
    violations
}
