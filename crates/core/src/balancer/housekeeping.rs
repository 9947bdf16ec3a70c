//! Periodic work: the tick, and the review of all endpoints every few ticks.

use super::{Balancer, PERIODIC_TIMER};
use crate::actions::Action;
use crate::ids::Millis;
use crate::schedule::TICK;

impl Balancer {
    /// Handles a tick of the periodic timer: expires waiting requests, checks running ones, reviews all endpoints if
    /// that is due, checks the call to discovery, and publishes gossip.
    pub(super) fn tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        out.push(Action::Timer { token: PERIODIC_TIMER, at: now + TICK });
        self.schedule.advance();
        self.update_counters(now);
        self.queues.update_mean_length();
        self.expire_waiting(now, out);
        for position in (0..self.requests.running().len()).rev() {
            let id = self.requests.running()[position];
            self.check_running(now, id, out);
        }
        if self.schedule.is_review_due() {
            self.review_endpoints(now);
        }
        self.update_discovery_call(now, out);
        self.publish_gossip(now, out);
    }

    /// Updates what changes with time alone: arrival rate, quotas, slots of abandoned attempts, reports of peers.
    fn update_counters(&mut self, now: Millis) {
        self.arrivals.update(now);
        self.quotas.refill(TICK, &self.settings);
        while let Some(endpoint) = self.abandoned.pop_ended(now) {
            self.endpoints[endpoint].load.this_proxy -= 1;
            self.update_eligibility(endpoint, now);
        }
        self.expire_reports(now);
    }

    /// Reviews all endpoints: updates their slots, slow-start budgets, speeds and outlier statistics, and makes those
    /// usable again whose ejection has ended.
    fn review_endpoints(&mut self, now: Millis) {
        self.latency.normalize(&mut self.endpoints);
        self.latency.update_mean();
        self.concurrency.update_mean_capacity(&self.endpoints);
        self.update_unheard_load();
        self.latency.review_baselines();
        self.reclaim_endpoints(now);
        self.outliers.review(&self.endpoints, now);
        for endpoint in self.endpoints.indices() {
            if self.schedule.is_resize_turn(endpoint) {
                self.update_slots(endpoint);
            }
            self.refill_slow_start(endpoint, now);
            self.update_speed(endpoint, now);
        }
    }

    /// Frees the records of removed endpoints to which no request, abandoned attempt or peer report refers any more.
    fn reclaim_endpoints(&mut self, now: Millis) {
        let used_by_requests = self.requests.referenced_endpoints();
        let used_by_peers = self.gossip.referenced_endpoints();
        let used_by_abandoned = self.abandoned.endpoints();
        let reclaimable =
            self.endpoints.reclaimable(used_by_requests.chain(used_by_peers).chain(used_by_abandoned));
        for endpoint in reclaimable {
            self.update_eligibility(endpoint, now); // removes the endpoint from its speed tier
            self.endpoints.reclaim(endpoint);
        }
    }
}
