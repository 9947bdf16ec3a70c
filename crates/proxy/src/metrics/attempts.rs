//! Metrics of attempts to send requests to upstreams.

use leadrelay_core::{Millis, Outcome};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};

use super::labels::{ByOutcome, register_by_label, register_by_reason, time_histogram};
use crate::denial::Denial;

/// Metrics of attempts to send requests to upstreams.
pub struct AttemptMetrics {
    /// Attempts that have ended, indexed by outcome.
    outcomes: [Counter; Outcome::COUNT],
    /// Time from the send of an attempt to the first byte of its response, in seconds, for served attempts.
    latency: Histogram,
    /// Attempts whose request was written completely to the upstream.
    pub written: Counter,
    /// Attempts denied before their first byte was written, indexed by denial.
    denials: [Counter; Denial::ALL.len()],
    /// Retries, indexed by the outcome of the previous attempt.
    retries: [Counter; Outcome::COUNT],
}

impl AttemptMetrics {
    /// Registers these metrics.
    pub fn register(registry: &mut Registry) -> Self {
        let outcome_names = Outcome::ALL.map(Outcome::name);
        let help = "Attempts at backends that have ended, by outcome";
        let outcomes = register_by_label::<ByOutcome, Counter, _>(registry, "attempts", help, outcome_names);
        let latency = time_histogram();
        let help = "Time from the send of an attempt to the first byte of its answer, served ones only";
        registry.register_with_unit("attempt", help, Unit::Seconds, latency.clone());
        let written = Counter::default();
        registry.register("attempts_written", "Attempts written whole to backends", written.clone());
        let reasons = Denial::ALL.map(Denial::name);
        let help = "Attempts denied as their first byte was to be written";
        let denials = register_by_reason(registry, "attempts_denied", help, reasons);
        let help = "Further attempts, by how the one before ended";
        let retries = register_by_reason(registry, "retries", help, outcome_names);
        AttemptMetrics { outcomes, latency, written, denials, retries }
    }

    /// Counts an attempt that has ended. `latency` is recorded for served attempts only.
    pub fn ended(&self, outcome: Outcome, latency: Millis) {
        self.outcomes[outcome as usize].inc();
        if outcome == Outcome::Served {
            self.latency.observe(latency / 1000.0);
        }
    }

    /// Counts an attempt that was denied before its first byte was written.
    pub fn denied(&self, denial: Denial) {
        self.denials[denial as usize].inc();
    }

    /// Counts a retry by the outcome of the previous attempt.
    pub fn retried(&self, previous: Outcome) {
        self.retries[previous as usize].inc();
    }
}
