//! The result of a run: violated invariants, counts, and the faults that were injected.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::history::{History, RequestOutcome};
use crate::invariants::{Invariant, Violation};

/// The result of a run.
#[derive(Debug)]
pub struct Report {
    /// Violated invariants.
    pub violations: Vec<Violation>,
    /// Number of attempts, of requests, and of requests by outcome.
    pub counts: BTreeMap<&'static str, usize>,
    /// Injected faults, in the order of their start.
    pub faults: Vec<ReportedFault>,
    first_fault_at: Option<Instant>,
}

/// A fault as it appears in the report.
#[derive(Clone, Debug)]
pub struct ReportedFault {
    /// Start of the fault, counted from the start of the first fault.
    pub offset: Duration,
    /// Description of the fault.
    pub description: String,
}

impl Report {
    /// Summarizes a run.
    pub fn new(history: &History, violations: Vec<Violation>) -> Self {
        let first_fault_at = history.faults.first().map(|fault| fault.at);
        let faults = history.faults.iter().map(|fault| ReportedFault {
            offset: fault.at - first_fault_at.unwrap_or(fault.at),
            description: fault.description.clone(),
        });
        Report { violations, counts: counts(history), faults: faults.collect(), first_fault_at }
    }

    /// Adds violations that the proxies reported themselves.
    pub fn add_self_reported_violations(&mut self, lines: Vec<String>) {
        for description in lines {
            self.violations.push(Violation { invariant: Invariant::OwnInvariants, at: None, description });
        }
    }

    /// Adds a failure of the fleet itself.
    pub fn add_failure(&mut self, description: &str) {
        let description = description.to_owned();
        self.violations.push(Violation { invariant: Invariant::Processes, at: None, description });
    }

    /// Time of a violation, in seconds since the first fault.
    pub fn seconds(&self, violation: &Violation) -> Option<f64> {
        let at = violation.at?;
        let start = self.first_fault_at?;
        if at < start {
            return Some(-(start - at).as_secs_f64());
        }
        Some((at - start).as_secs_f64())
    }
}

fn counts(history: &History) -> BTreeMap<&'static str, usize> {
    let mut counts =
        BTreeMap::from([("attempts", history.attempts.len()), ("requests", history.requests.len())]);
    for request in history.requests.values() {
        *counts.entry(outcome_name(request.outcome.as_ref())).or_default() += 1;
    }
    counts
}

fn outcome_name(outcome: Option<&RequestOutcome>) -> &'static str {
    match outcome {
        Some(RequestOutcome::Answered { status: 200, .. }) => "served",
        Some(RequestOutcome::Answered { status: 429 | 503, .. }) => "refused",
        Some(RequestOutcome::Answered { .. }) => "failed",
        Some(RequestOutcome::Broken { .. }) => "broken",
        Some(RequestOutcome::Closed { .. }) => "closed",
        Some(RequestOutcome::Unanswered) => "unanswered",
        None => "cancelled or open",
    }
}
