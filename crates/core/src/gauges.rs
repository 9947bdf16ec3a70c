//! What holds in a proxy's decisions at present, for whoever watches it.
use crate::interface::*;
use crate::records::Server;
use crate::standing::{EndpointStatus, Gauges};
use crate::state::Balancer;

impl Balancer {
    /// How a listed server is treated now.
    fn standing(&self, s: &Server, now: Millis) -> EndpointStatus {
        if self.overlay.is_banned(s.info.id) {
            EndpointStatus::Maintenance
        } else if s.told.is_some() {
            EndpointStatus::Draining
        } else if !self.usable(s, now) {
            match (s.health.closed > now, s.full) {
                (true, true) => EndpointStatus::Full,
                (true, false) => EndpointStatus::Ill,
                (false, _) => EndpointStatus::Blamed,
            }
        } else if s.fresh && s.warmth < 1.0 {
            EndpointStatus::Cold
        } else if s.health.trial && !self.doubt {
            EndpointStatus::Trial
        } else {
            EndpointStatus::InUse
        }
    }

    /// What holds now. Its cost grows with the servers listed.
    pub fn gauges(&self, now: Millis) -> Gauges {
        let mut standings = [0; EndpointStatus::ALL.len()];
        for s in self.servers.iter().filter(|s| s.info.state != EndpointState::Removed) {
            standings[self.standing(s, now) as usize] += 1;
        }
        let (waiting, running) = (self.waiting, self.running.len());
        let list_valid = now < self.list_valid_until();
        Gauges {
            standings,
            list_valid,
            waiting,
            running,
            retry_budget: self.retries,
            choices: self.choices,
            violations: self.violations,
        }
    }
}
