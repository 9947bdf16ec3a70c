//! Gossip: applies and expires the reports of other proxies, and publishes this proxy's own.

use super::Balancer;
use crate::actions::Action;
use crate::endpoints::EndpointIndex;
use crate::gossip::{FleetView, Message, PeerReport};
use crate::ids::Millis;

impl Balancer {
    /// Applies the report in a message from another proxy, which replaces the previous report of that proxy.
    pub(super) fn handle_gossip(&mut self, now: Millis, peer: usize, bytes: &[u8]) {
        if !self.gossip.is_member(peer) {
            return;
        }
        let Some(message) = Message::decode(bytes, &self.endpoints) else { return };
        let mut changed = self.retract_report(peer);
        let report = PeerReport::new(now, &message, &self.endpoints);
        report.apply(&mut self.endpoints);
        changed.extend(report.loaded_endpoints());
        for endpoint in changed {
            self.update_eligibility(endpoint, now);
        }
        self.gossip.store(peer, message.zone, report);
    }

    /// Removes reports that have expired.
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

    /// Removes the last report of a peer; returns the endpoints to which it reported load.
    fn retract_report(&mut self, peer: usize) -> Vec<EndpointIndex> {
        let report = self.gossip.retract(peer, &mut self.endpoints);
        report.map_or_else(Vec::new, |report| report.loaded_endpoints().collect())
    }

    /// Updates the estimate of the load of the other proxies that is used while no gossip of them arrives.
    pub(super) fn update_unheard_load(&mut self) {
        let view = FleetView {
            active_proxies: self.sharing().active_proxies(),
            reporting_peers: self.gossip.reporting_peers(),
            arrivals_per_ms: self.arrivals.per_ms(),
        };
        self.unheard_load.update(&self.endpoints, &view);
    }

    /// Reports this proxy's load to the other proxies as often as the byte budget of gossip allows, and without regard
    /// to the budget if the last report is older than the longest interval between two reports.
    pub(super) fn publish_gossip(&mut self, now: Millis, out: &mut Vec<Action>) {
        let attempts = self.requests.running().len() + self.abandoned.len();
        let draining = self.overrides.draining;
        let message = self.gossip.publish(now, &self.settings, draining, attempts, &self.endpoints);
        out.extend(message.map(Action::Broadcast));
    }
}
