//! Invariants that proxies have to keep, checked against the observed history.

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
    /// A request that a backend may have run is retried only as its class allows.
    NoSecondEffect,
    /// Backends that are out of service receive no new attempts.
    Drained,
    /// Backends in slow start are not overloaded.
    SlowStart,
    /// No attempt begins for a request that its client has cancelled.
    Cancelled,
    /// The remaining time that an attempt passes to its backend is at most the client's remaining time.
    Deadline,
    /// Processes start, run and exit as required: they do not crash, and stay within their limits.
    Processes,
    /// The proxy itself reports no violation, in its metrics or its log.
    OwnInvariants,
}

/// A violated invariant.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The invariant.
    pub invariant: Invariant,
    /// Time of the violation, if it is known.
    pub at: Option<Instant>,
    /// Description of the violation for the report.
    pub description: String,
}

impl Violation {
    fn at(invariant: Invariant, at: Instant, description: String) -> Self {
        Violation { invariant, at: Some(at), description }
    }
}

/// Maximum pause of a proxy process, and so the maximum delay of anything that it sends.
const MAX_PAUSE: Duration = Duration::from_millis(150);
/// Maximum delay of a response after the request's timeout; a later one violates [`Invariant::Answered`].
const MAX_RESPONSE_DELAY: Duration = Duration::from_millis(500);
/// An attempt may still begin within this time after the client has cancelled the request.
const CANCEL_GRACE: Duration = Duration::from_millis(100);
/// After discovery recovers or a proxy restarts, the proxy counts as notified of earlier changes after this time.
const NOTIFICATION_TIMEOUT: Duration = Duration::from_secs(6);
/// Time that a terminated process may take to exit, beyond the longest deadline.
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
            ProcessEvent::Crashed(status) => (Invariant::Processes, format!("crashed: {status}")),
            ProcessEvent::OverLimit(usage) => (Invariant::Processes, format!("over its limits: {usage}")),
            ProcessEvent::Logged(line) => (Invariant::OwnInvariants, line.clone()),
            _ => continue,
        };
        let description = format!("proxy {}: {description}", record.proxy);
        violations.push(Violation::at(invariant, record.at, description));
    }
    violations
}
