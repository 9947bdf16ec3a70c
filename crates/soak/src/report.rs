//! The result of a run: violated invariants, counts, and the faults that were injected.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::history::{History, RequestOutcome};
use crate::invariants::{Invariant, Violation};

/// The result of a run.
#[derive(Debug)]
pub struct Report {
    /// What was violated.
    pub violations: Vec<Violation>,
    /// Counts, by name.
    pub counts: BTreeMap<&'static str, usize>,
    /// Injected faults.
    pub faults: Vec<ReportedFault>,
    first_fault_at: Option<Instant>,
}

/// A fault as the report tells it.
#[derive(Clone, Debug)]
pub struct ReportedFault {
    /// When it began, since the first fault.
    pub offset: Duration,
    /// What it was.
    pub description: String,
}

impl Report {
    /// Sums a run up.
    pub fn new(history: &History, violations: Vec<Violation>) -> Self {
        let first_fault_at = history.faults.first().map(|fault| fault.at);
        let faults = history.faults.iter().map(|fault| ReportedFault {
            offset: fault.at - first_fault_at.unwrap_or(fault.at),
            description: fault.description.clone(),
        });
        Report { violations, counts: counts(history), faults: faults.collect(), first_fault_at }
    }

    /// Adds violations that the proxies counted themselves.
    pub fn add_own_violations(&mut self, lines: Vec<String>) {
        for description in lines {
            self.violations.push(Violation { invariant: Invariant::OwnInvariants, at: None, description });
        }
    }

    /// Adds that the fleet itself failed.
    pub fn add_failure(&mut self, description: &str) {
        let description = description.to_owned();
        self.violations.push(Violation { invariant: Invariant::Processes, at: None, description });
    }

    /// When a violation happened, in seconds since the first fault.
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
        None => "left or open",
    }
}
