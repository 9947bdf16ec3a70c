//! What a request met, judged by the true state.

use super::Simulation;
use super::attempts::Attempt;
use crate::index::ClientAttemptIndex;
use crate::report::RequestOutcome;

/// A request that waited for more than this fraction of its useful time was queued, not rejected.
const QUEUED_FRACTION: f64 = 0.5;

impl Simulation<'_> {
    /// What the last attempt for a client's met; without one, whether it was queued or rejected.
    pub(super) fn observed_outcome(&self, index: ClientAttemptIndex) -> RequestOutcome {
        let client_attempt = &self.clients.attempts[index];
        if let Some(last) = client_attempt.attempts.last() {
            let attempt = &self.attempts[*last];
            return attempt.observed.unwrap_or_else(|| self.unanswered_outcome(attempt));
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

    /// Why an attempt has no answer yet.
    pub(super) fn unanswered_outcome(&self, attempt: &Attempt) -> RequestOutcome {
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
