//! What holds in a proxy's decisions at present, for metrics.

use super::Balancer;
use crate::decision::DecisionCounts;
use crate::endpoint_status::EndpointStatus;
use crate::endpoints::EndpointEntry;
use crate::ids::Millis;
use crate::invariant::Violations;

/// What holds at one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Gauges {
    /// Listed endpoints by how they are treated, in the order of [`EndpointStatus::ALL`].
    pub endpoints_by_status: [usize; EndpointStatus::ALL.len()],
    /// Whether requests may be sent by the endpoint list that is held.
    pub list_valid: bool,
    /// Requests in the proxy's own queue.
    pub waiting: usize,
    /// Requests with an attempt in flight.
    pub running: usize,
    /// Retries that the retry budget allows.
    pub retry_budget: f64,
    /// What the threshold has decided.
    pub decisions: DecisionCounts,
    /// How often a decision would have broken an invariant.
    pub violations: Violations,
}

impl Balancer {
    /// What holds now. Its cost grows with the endpoints listed.
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

    /// How a listed endpoint is treated now.
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
