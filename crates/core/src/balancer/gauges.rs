//! A snapshot of a proxy's state for metrics.

use super::Balancer;
use crate::decision::ThresholdDecisionCounts;
use crate::endpoint_status::EndpointStatus;
use crate::endpoints::EndpointEntry;
use crate::ids::Millis;
use crate::invariant::Violations;

/// The state of a proxy at one moment, with its counters since the start of the process.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Gauges {
    /// The number of listed endpoints with each status, in the order of [`EndpointStatus::ALL`].
    pub endpoints_by_status: [usize; EndpointStatus::ALL.len()],
    /// Whether the current endpoint list is still valid, so that requests may be sent by it.
    pub list_valid: bool,
    /// The number of requests waiting in the proxy's queues.
    pub waiting: usize,
    /// The number of requests with an attempt that has not ended.
    pub running: usize,
    /// The number of retries that the retry budget still allows.
    pub retry_budget: f64,
    /// How often the two-speed threshold made each decision.
    pub decisions: ThresholdDecisionCounts,
    /// How often a send was prevented because it would have broken an invariant.
    pub violations: Violations,
}

impl Balancer {
    /// The state of the proxy now. The cost of the call grows with the number of endpoints.
    pub fn gauges(&self, now: Millis) -> Gauges {
        let mut endpoints_by_status = [0; EndpointStatus::ALL.len()];
        for entry in self.endpoints.iter().filter(|entry| entry.is_listed()) {
            endpoints_by_status[self.status(entry, now) as usize] += 1;
        }
        Gauges {
            endpoints_by_status,
            list_valid: now < self.list_valid_until(),
            waiting: self.queues.waiting(),
            running: self.requests.running().len(),
            retry_budget: self.retry_budget.remaining(),
            decisions: self.decisions,
            violations: self.violations,
        }
    }

    /// The current status of a listed endpoint.
    fn status(&self, entry: &EndpointEntry, now: Millis) -> EndpointStatus {
        if self.overrides.is_in_maintenance(entry.listed.id) {
            EndpointStatus::Maintenance
        } else if !entry.is_in_service() {
            EndpointStatus::Draining
        } else if !self.outliers.is_usable(entry, now) {
            match (entry.outlier.is_ejected(now), entry.outlier.is_rejecting()) {
                (true, true) => EndpointStatus::Rejecting,
                (true, false) => EndpointStatus::Ejected,
                (false, _) => EndpointStatus::ReportedByPeers,
            }
        } else if entry.is_warming_up() {
            EndpointStatus::WarmingUp
        } else if entry.outlier.is_on_probation() && !self.outliers.is_in_panic_mode() {
            EndpointStatus::Probation
        } else {
            EndpointStatus::InUse
        }
    }
}
