//! Gossip: reports of other proxies come and expire, and this one's are published.

use super::Balancer;
use crate::actions::Action;
use crate::endpoints::EndpointIndex;
use crate::gossip::{FleetView, Message, PeerReport};
use crate::ids::Millis;

impl Balancer {
    /// Takes in a message of another proxy, in place of its last one.
    pub(super) fn handle_gossip(&mut self, now: Millis, from: usize, bytes: &[u8]) {
        if !self.gossip.is_member(from) {
            return;
        }
        let Some(message) = Message::decode(bytes, &self.endpoints) else { return };
        let mut changed = self.retract_report(from);
        let report = PeerReport::new(now, &message, &self.endpoints);
        report.apply(&mut self.endpoints);
        changed.extend(report.loaded_endpoints());
        for endpoint in changed {
            self.update_eligibility(endpoint, now);
        }
        self.gossip.store(from, message.zone, report);
    }

    /// Forgets reports that no longer count.
    pub(super) fn expire_reports(&mut self, now: Millis) {
        for peer in self.gossip.peers() {
            if !self.gossip.is_expired(peer, now) {
                continue;
            }
            for endpoint in self.retract_report(peer) {
                self.update_eligibility(endpoint, now);
            }
        }
    }

    /// Forgets the last report of a peer; returns the endpoints whose load it counted in.
    fn retract_report(&mut self, peer: usize) -> Vec<EndpointIndex> {
        let report = self.gossip.retract(peer, &mut self.endpoints);
        report.map_or_else(Vec::new, |report| report.loaded_endpoints().collect())
    }

    /// Follows what the other proxies have in flight, for as long as none of them is heard.
    pub(super) fn follow_unheard_load(&mut self) {
        let view = FleetView {
            active_proxies: self.sharing().active_proxies(),
            reporting_peers: self.gossip.reporting_peers(),
            arrivals_per_ms: self.arrivals.per_ms(),
        };
        self.unheard_load.update(&self.endpoints, &view);
    }

    /// Reports this proxy's load to the others, as often as its budget of bytes allows.
    pub(super) fn publish_gossip(&mut self, now: Millis, out: &mut Vec<Action>) {
        let attempts = self.requests.running().len() + self.abandoned.len();
        let draining = self.overrides.draining;
        let message = self.gossip.publish(now, &self.settings, draining, attempts, &self.endpoints);
        out.extend(message.map(Action::Broadcast));
    }
}
