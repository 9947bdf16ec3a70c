//! What holds in a proxy's decisions at present, for whoever watches it.
use crate::interface::*;
use crate::records::Server;
use crate::standing::{Gauges, Standing};
use crate::state::Balancer;

impl Balancer {
    /// How a listed server is treated now.
    fn standing(&self, s: &Server, now: Millis) -> Standing {
        if self.overlay.is_banned(s.info.id) {
            Standing::Maintenance
        } else if s.told.is_some() {
            Standing::Draining
        } else if !self.usable(s, now) {
            match (s.health.closed > now, s.full) {
                (true, true) => Standing::Full,
                (true, false) => Standing::Ill,
                (false, _) => Standing::Blamed,
            }
        } else if s.fresh && s.warmth < 1.0 {
            Standing::Cold
        } else if s.health.trial && !self.doubt {
            Standing::Trial
        } else {
            Standing::InUse
        }
    }

    /// What holds now. Its cost grows with the servers listed.
    pub fn gauges(&self, now: Millis) -> Gauges {
        let mut standings = [0; Standing::ALL.len()];
        for s in self.servers.iter().filter(|s| s.info.state != State::Gone) {
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
