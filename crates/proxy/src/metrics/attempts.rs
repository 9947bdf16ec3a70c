//! Metrics of attempts at upstreams.

use leadrelay_core::{Millis, Outcome};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};

use super::labels::{ByOutcome, register_by_label, register_by_reason, time_histogram};
use crate::denial::Denial;

/// Metrics of attempts.
pub struct AttemptMetrics {
    outcomes: [Counter; Outcome::COUNT],
    seconds: Histogram,
    /// Attempts whose request was written completely.
    pub written: Counter,
    denials: [Counter; Denial::ALL.len()],
    retries: [Counter; Outcome::COUNT],
}

impl AttemptMetrics {
    /// Registers them.
    pub fn register(registry: &mut Registry) -> Self {
        let names = Outcome::ALL.map(Outcome::name);
        let help = "Attempts at backends that have ended, by outcome";
        let outcomes = register_by_label::<ByOutcome, Counter, _>(registry, "attempts", help, names);
        let seconds = time_histogram();
        let help = "Time from the send of an attempt to the first byte of its answer, served ones only";
        registry.register_with_unit("attempt", help, Unit::Seconds, seconds.clone());
        let written = Counter::default();
        registry.register("attempts_written", "Attempts written whole to backends", written.clone());
        let reasons = Denial::ALL.map(Denial::name);
        let help = "Attempts denied as their first byte was to be written";
        let denials = register_by_reason(registry, "attempts_denied", help, reasons);
        let help = "Further attempts, by how the one before ended";
        let retries = register_by_reason(registry, "retries", help, names);
        AttemptMetrics { outcomes, seconds, written, denials, retries }
    }

    /// Counts an attempt that has ended.
    pub fn ended(&self, outcome: Outcome, latency: Millis) {
        self.outcomes[outcome as usize].inc();
        if outcome == Outcome::Served {
            self.seconds.observe(latency / 1000.0);
        }
    }

    /// Counts an attempt that was denied before its first byte was written.
    pub fn denied(&self, denial: Denial) {
        self.denials[denial as usize].inc();
    }

    /// Counts a retry, by how the attempt before it ended.
    pub fn retried(&self, previous: Outcome) {
        self.retries[previous as usize].inc();
    }
}
