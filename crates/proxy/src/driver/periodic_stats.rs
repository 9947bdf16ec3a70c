//! Statistics of the driver's work, logged and reset periodically.

use std::time::Duration;

use leadrelay_core::Outcome;
use tracing::info;

use crate::metrics::Metrics;

/// Counts since the last log event. Adding up the logs of all proxies shows load that would be harmless if it came from
/// a single proxy.
#[derive(Default)]
pub struct PeriodicStats {
    pub requests: u32,
    pub attempts: u32,
    /// The number of attempts that ended with each outcome, indexed by `Outcome`.
    outcomes: [u32; Outcome::COUNT],
    /// Requests rejected before an attempt was made.
    rejected_unattempted: u32,
    /// Requests rejected after an attempt.
    rejected_attempted: u32,
    pub failed: u32,
    pub gossip_sent: u32,
    pub gossip_received: u32,
    pub discovery_calls: u32,
    pub discovery_calls_failed: u32,
    /// The total number of connections opened to upstreams, as of the last log event.
    connections_opened_before: u64,
}

impl PeriodicStats {
    /// Counts the outcome of an attempt.
    pub fn record_outcome(&mut self, outcome: Outcome) {
        self.outcomes[outcome as usize] += 1;
    }

    /// Counts a rejected request; `attempted` says whether an attempt was made.
    pub fn record_rejection(&mut self, attempted: bool) {
        match attempted {
            true => self.rejected_attempted += 1,
            false => self.rejected_unattempted += 1,
        }
    }

    /// Logs the counts, unless there was no activity, and resets them.
    pub fn log_and_reset(&mut self, metrics: &Metrics, list_age: Duration) {
        let connections_opened = metrics.upstream_connections_opened();
        let next =
            PeriodicStats { connections_opened_before: connections_opened, ..PeriodicStats::default() };
        let stats = std::mem::replace(self, next);
        if stats.is_empty() {
            return;
        }
        let attempts_ended = |outcome: Outcome| stats.outcomes[outcome as usize];
        info!(
            requests = stats.requests,
            attempts = stats.attempts,
            attempts_served = attempts_ended(Outcome::Served),
            attempts_error = attempts_ended(Outcome::Error),
            attempts_rejected = attempts_ended(Outcome::Rejected),
            attempts_timed_out = attempts_ended(Outcome::TimedOut),
            attempts_connect_failed = attempts_ended(Outcome::ConnectFailed),
            attempts_reset = attempts_ended(Outcome::Reset),
            attempts_cancelled = attempts_ended(Outcome::Cancelled),
            attempts_withdrawn = attempts_ended(Outcome::Withdrawn),
            rejected_unattempted = stats.rejected_unattempted,
            rejected_attempted = stats.rejected_attempted,
            failed = stats.failed,
            connections_opened = connections_opened - stats.connections_opened_before,
            gossip_sent = stats.gossip_sent,
            gossip_received = stats.gossip_received,
            discovery_calls = stats.discovery_calls,
            discovery_calls_failed = stats.discovery_calls_failed,
            list_age_ms = list_age.as_millis() as u64,
            "periodic statistics"
        );
    }

    fn is_empty(&self) -> bool {
        let events = self.requests
            + self.attempts
            + self.gossip_received
            + self.discovery_calls
            + self.discovery_calls_failed;
        events == 0
    }
}
