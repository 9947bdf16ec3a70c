//! Classifies the outcome of a request according to the true state.

use super::Simulation;
use super::attempts::Attempt;
use crate::index::ClientAttemptIndex;
use crate::report::RequestOutcome;

/// Fraction of its useful time above which the wait of a request counts as queueing instead of rejection.
const QUEUED_FRACTION: f64 = 0.5;

impl Simulation<'_> {
    /// Returns the outcome of the last attempt at a backend for a client attempt; without such an attempt, whether the
    /// request was queued or rejected.
    pub(super) fn observed_outcome(&self, index: ClientAttemptIndex) -> RequestOutcome {
        let client_attempt = &self.clients.attempts[index];
        if let Some(last) = client_attempt.attempts.last() {
            let attempt = &self.attempts[*last];
            return attempt.observed.unwrap_or_else(|| self.outcome_without_response(attempt));
        }
        let request = &self.workload.requests[client_attempt.request];
        let objective = self.workload.latency_objective(request.class);
        let useful_time = objective.min(client_attempt.deadline - client_attempt.sent_at);
        let now = self.now();
        let was_queued = now - client_attempt.sent_at > QUEUED_FRACTION * useful_time;
        let is_any_idle = self.backends.iter().any(|backend| backend.is_idle(now));
        match (was_queued, is_any_idle) {
            (true, true) => RequestOutcome::QueuedBesideIdle,
            (true, false) => RequestOutcome::QueuedAllBusy,
            (false, true) => RequestOutcome::RejectedBesideIdle,
            (false, false) => RequestOutcome::RejectedAllBusy,
        }
    }

    /// Returns the reason why an attempt has had no response so far.
    pub(super) fn outcome_without_response(&self, attempt: &Attempt) -> RequestOutcome {
        let backend = &self.backends[attempt.backend];
        let proxy = self.clients.attempts[attempt.client_attempt].proxy;
        if self.network.is_partitioned(self.proxies[proxy].zone, backend.machine.zone) {
            RequestOutcome::NetworkPartition
        } else if !backend.up {
            RequestOutcome::BackendDown
        } else if backend.unresponsive {
            RequestOutcome::BackendUnhealthy
        } else if backend.is_warming_up(self.now()) {
            RequestOutcome::BackendWarmingUp
        } else {
            RequestOutcome::BackendBusy
        }
    }
}
