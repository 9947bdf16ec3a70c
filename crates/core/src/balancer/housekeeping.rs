//! What is done as time passes.

use super::{Balancer, PERIODIC_TIMER};
use crate::actions::Action;
use crate::ids::Millis;
use crate::schedule::TICK;

impl Balancer {
    /// Looks after waiting and running requests, and now and then after all endpoints.
    pub(super) fn tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        out.push(Action::Timer { token: PERIODIC_TIMER, at: now + TICK });
        self.schedule.advance();
        self.update_counters(now);
        self.queues.update_mean_length();
        self.expire_waiting(now, out);
        for position in (0..self.requests.running().len()).rev() {
            let id = self.requests.running()[position];
            self.watch_running(now, id, out);
        }
        if self.schedule.is_review_due() {
            self.review(now);
        }
        self.follow_discovery(now, out);
        self.publish_gossip(now, out);
    }

    /// Brings counters up to date: arrival rate, quotas, slots of abandoned attempts, reports of peers.
    fn update_counters(&mut self, now: Millis) {
        self.arrivals.update(now);
        self.quotas.refill(TICK, &self.settings);
        while let Some(endpoint) = self.abandoned.pop_ended(now) {
            self.endpoints[endpoint].load.own -= 1;
            self.update_eligibility(endpoint, now);
        }
        self.expire_reports(now);
    }

    /// Reviews all endpoints: slots, budgets in slow start, ejections that end, how many look unhealthy.
    fn review(&mut self, now: Millis) {
        self.latency.normalize(&mut self.endpoints);
        self.latency.update_mean();
        self.concurrency.update_mean_capacity(&self.endpoints);
        self.follow_unheard_load();
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

    /// Gives up the records of endpoints that have been removed, once no request, slot or peer refers to them.
    fn reclaim_endpoints(&mut self, now: Millis) {
        let of_requests = self.requests.referenced_endpoints();
        let of_peers = self.gossip.referenced_endpoints();
        let of_abandoned = self.abandoned.endpoints();
        let reclaimable = self.endpoints.reclaimable(of_requests.chain(of_peers).chain(of_abandoned));
        for endpoint in reclaimable {
            self.update_eligibility(endpoint, now); // takes it out of its tier
            self.endpoints.reclaim(endpoint);
        }
    }
}
