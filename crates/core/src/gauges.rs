//! What holds in a proxy's decisions at present, for whoever watches it.
use crate::decision::DecisionCounts;
use crate::endpoint_status::EndpointStatus;
use crate::interface::*;
use crate::invariant::Violations;
use crate::records::Server;
use crate::state::Balancer;

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
    /// How a listed server is treated now.
    fn standing(&self, s: &Server, now: Millis) -> EndpointStatus {
        if self.overlay.is_banned(s.info.id) {
            EndpointStatus::Maintenance
        } else if s.told.is_some() {
            EndpointStatus::Draining
        } else if !self.usable(s, now) {
            match (s.health.closed > now, s.full) {
                (true, true) => EndpointStatus::Rejecting,
                (true, false) => EndpointStatus::Ejected,
                (false, _) => EndpointStatus::ReportedByPeers,
            }
        } else if s.fresh && s.warmth < 1.0 {
            EndpointStatus::WarmingUp
        } else if s.health.trial && !self.doubt {
            EndpointStatus::Probation
        } else {
            EndpointStatus::InUse
        }
    }

    /// What holds now. Its cost grows with the servers listed.
    pub fn gauges(&self, now: Millis) -> Gauges {
        let mut endpoints_by_status = [0; EndpointStatus::ALL.len()];
        for s in self.servers.iter().filter(|s| s.info.state != EndpointState::Removed) {
            endpoints_by_status[self.standing(s, now) as usize] += 1;
        }
        let (waiting, running) = (self.waiting, self.running.len());
        let list_valid = now < self.list_valid_until();
        Gauges {
            endpoints_by_status,
            list_valid,
            waiting,
            running,
            retry_budget: self.retries,
            decisions: self.choices,
            violations: self.violations,
        }
    }
}
