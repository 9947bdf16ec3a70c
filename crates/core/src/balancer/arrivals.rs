//! Handles arriving requests: their deadline, their affinity endpoint and their place in a queue.

use super::answers::FINAL_RESPONSE_MARGIN;
use super::{Balancer, is_idempotent};
use crate::actions::{Action, RejectionReason};
use crate::endpoints::EndpointIndex;
use crate::estimators::ClientGroup;
use crate::events::TimeoutAnnouncement;
use crate::hash::rendezvous_score;
use crate::ids::{AffinityKey, ClassId, Millis, RequestId, TenantId};
use crate::requests::{Request, RequestSpec};

/// A request as it arrives.
pub(super) struct NewRequest {
    pub id: RequestId,
    pub class: ClassId,
    pub tenant: Option<TenantId>,
    pub key: Option<AffinityKey>,
    /// How long the client still waits, as it announced.
    pub timeout: Millis,
    pub announcement: TimeoutAnnouncement,
    pub expected_cost: Option<Millis>,
}

impl Balancer {
    pub(super) fn handle_arrival(&mut self, now: Millis, arrival: NewRequest, out: &mut Vec<Action>) {
        self.arrivals.record();
        self.retry_budget.refill();
        self.gossip.refill_budget(&self.settings);
        let timeout = self.credible_timeout(now, &arrival);
        let spec = self.request_spec(now, &arrival, timeout);
        self.requests.insert(arrival.id, Request::new(spec));
        if timeout < FINAL_RESPONSE_MARGIN {
            // The next tick could be too late to respond before the deadline.
            return self.reject_or_fail(arrival.id, RejectionReason::TooLate, out);
        }
        self.enqueue(arrival.id, false);
    }

    /// How long the client still waits. If the announced timeout is doubtful and exceeds the longest of the recent
    /// announcements of its class and tenant, the excess is subtracted. With too few recent ones, nothing is.
    fn credible_timeout(&mut self, now: Millis, arrival: &NewRequest) -> Millis {
        if !self.compares_announced_timeouts(arrival.class) {
            return arrival.timeout;
        }
        let group = ClientGroup { class: arrival.class, tenant: arrival.tenant };
        match arrival.announcement {
            // A timeout below this margin is too short for any response, so it tells nothing about requests that get
            // one.
            TimeoutAnnouncement::Typical(announced) if announced >= FINAL_RESPONSE_MARGIN => {
                self.client_timeouts.record(group, announced, now);
                arrival.timeout
            }
            TimeoutAnnouncement::Doubtful(announced) => {
                let longest = self.client_timeouts.agreed_maximum(group, now);
                let excess = longest.map_or(0.0, |longest| (announced - longest).max(0.0));
                arrival.timeout - excess
            }
            TimeoutAnnouncement::Typical(_) | TimeoutAnnouncement::Individual => arrival.timeout,
        }
    }

    /// Whether the announced timeouts of a class are compared with each other. Clients have to mark their retries,
    /// which announce what is left of a timeout. The class has to be idempotent, because only requests that can be
    /// repeated are given up before the announced timeout.
    fn compares_announced_timeouts(&self, class: ClassId) -> bool {
        self.settings.clients_mark_retries && is_idempotent(&self.settings.classes[class.0])
    }

    /// The properties of a request at its arrival, for a client that waits for `timeout`.
    fn request_spec(&mut self, now: Millis, arrival: &NewRequest, timeout: Millis) -> RequestSpec {
        let class = arrival.class.0;
        let over_quota = arrival.tenant.is_some_and(|tenant| !self.quotas.take(tenant));
        let affinity_endpoint = arrival.key.and_then(|key| self.affinity_endpoint(key, now));
        let cost = self.request_costs.assess(class, &self.settings.classes[class], arrival.expected_cost);
        RequestSpec {
            class,
            relative_cost: cost.relative,
            over_quota,
            objective_at: now + cost.latency_objective.min(timeout),
            deadline: now + timeout,
            is_shortened: timeout < arrival.timeout,
            key: arrival.key.map_or(0, |key| key.0),
            affinity_endpoint,
            max_attempts: self.settings.limits.max_attempts as usize,
        }
    }

    /// The affinity endpoint of a key, by weighted rendezvous hashing: all proxies choose the same one without
    /// exchanging messages.
    fn affinity_endpoint(&self, key: AffinityKey, now: Millis) -> Option<EndpointIndex> {
        if !self.settings.key_affinity {
            return None;
        }
        let is_eligible = |endpoint: &EndpointIndex| {
            let entry = &self.endpoints[*endpoint];
            let is_believed_healthy = !entry.outlier.is_ejected(now) || self.outliers.is_in_panic_mode();
            entry.is_in_service() && is_believed_healthy
        };
        let score = |endpoint: &EndpointIndex| {
            let entry = &self.endpoints[*endpoint];
            rendezvous_score(entry.listed.id.0, key.0, entry.affinity.hash_weight)
        };
        let eligible = self.endpoints.indices().filter(is_eligible);
        eligible.min_by(|left, right| score(left).total_cmp(&score(right)))
    }

    /// Adds a request to its queue; `in_front` puts a request that has waited before at the head.
    pub(super) fn enqueue(&mut self, id: RequestId, in_front: bool) {
        let request = self.requests.get_mut(id).expect("only open requests wait");
        request.waiting = true;
        let spec = &request.spec;
        if let Some(endpoint) = spec.affinity_endpoint {
            self.endpoints[endpoint].affinity.push(id);
        }
        self.queues.push(id, spec.class, spec.over_quota, in_front);
    }

    /// Marks a request as no longer waiting. An entry that is left in its queue is dropped later.
    pub(super) fn dequeue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(id).filter(|request| request.waiting) else { return };
        request.waiting = false;
        self.queues.stop_waiting();
        if let Some(endpoint) = request.spec.affinity_endpoint {
            self.endpoints[endpoint].affinity.stop_waiting();
        }
    }
}
