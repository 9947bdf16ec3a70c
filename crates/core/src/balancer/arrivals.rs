//! A request arrives.

use super::answers::ANSWER_MARGIN;
use super::{Balancer, is_idempotent};
use crate::actions::{Action, RejectionReason};
use crate::endpoints::EndpointIndex;
use crate::estimators::ClientGroup;
use crate::events::Announcement;
use crate::hash::rendezvous_score;
use crate::ids::{AffinityKey, ClassId, Millis, RequestId, TenantId};
use crate::requests::{Request, RequestSpec};

/// A request as it arrives.
pub(super) struct NewRequest {
    pub id: RequestId,
    pub class: ClassId,
    pub tenant: Option<TenantId>,
    pub key: Option<AffinityKey>,
    /// How long the client still waits, by its own word.
    pub timeout: Millis,
    pub announcement: Announcement,
    pub expected_cost: Option<Millis>,
}

impl Balancer {
    pub(super) fn handle_arrival(&mut self, now: Millis, new: NewRequest, out: &mut Vec<Action>) {
        self.arrivals.record();
        self.retry_budget.refill();
        self.gossip.refill_budget(&self.settings);
        let timeout = self.credible_timeout(now, &new);
        let spec = self.assess(now, &new, timeout);
        self.requests.insert(new.id, Request::new(spec));
        if timeout < ANSWER_MARGIN {
            // The next tick could come too late for it.
            return self.answer(new.id, RejectionReason::TooLate, out);
        }
        self.enqueue(new.id, false);
    }

    /// How long the client still waits, by its own word and by what others like it announced.
    fn credible_timeout(&mut self, now: Millis, new: &NewRequest) -> Millis {
        if !self.compares_announcements(new.class) {
            return new.timeout;
        }
        let group = ClientGroup { class: new.class, tenant: new.tenant };
        match new.announcement {
            // Nobody is served by a shorter timeout, so that it says nothing of those who are.
            Announcement::Typical(announced) if announced >= ANSWER_MARGIN => {
                self.client_timeouts.record(group, announced, now);
                new.timeout
            }
            Announcement::Doubtful(announced) => {
                let agreed = self.client_timeouts.agreed_maximum(group, now);
                let excess = agreed.map_or(0.0, |agreed| (announced - agreed).max(0.0));
                new.timeout - excess
            }
            Announcement::Typical(_) | Announcement::Individual => new.timeout,
        }
    }

    /// Whether clients of a class can be told from each other by what they announce: retries have to be marked. Only
    /// requests that can be repeated are given up early.
    fn compares_announcements(&self, class: ClassId) -> bool {
        self.settings.clients_mark_retries && is_idempotent(&self.settings.classes[class.0])
    }

    /// What is known of a request from its arrival on, if its client waits for `timeout`.
    fn assess(&mut self, now: Millis, new: &NewRequest, timeout: Millis) -> RequestSpec {
        let class = new.class.0;
        let over_quota = new.tenant.is_some_and(|tenant| !self.quotas.take(tenant));
        let affinity_endpoint = new.key.and_then(|key| self.affinity_endpoint(key, now));
        let cost = self.request_costs.assess(class, &self.settings.classes[class], new.expected_cost);
        RequestSpec {
            class,
            relative_cost: cost.relative,
            over_quota,
            objective_at: now + cost.latency_objective.min(timeout),
            deadline: now + timeout,
            is_shortened: timeout < new.timeout,
            key: new.key.map_or(0, |key| key.0),
            affinity_endpoint,
            max_attempts: self.settings.limits.max_attempts as usize,
        }
    }

    /// The endpoint that a key has its affinity with: the same at every proxy, without any message between them.
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

    /// A request waits from now on, in front of its queue if it has waited before.
    pub(super) fn enqueue(&mut self, id: RequestId, in_front: bool) {
        let request = self.requests.get_mut(id).expect("only open requests wait");
        request.waiting = true;
        let spec = &request.spec;
        if let Some(endpoint) = spec.affinity_endpoint {
            self.endpoints[endpoint].affinity.push(id);
        }
        self.queues.push(id, spec.class, spec.over_quota, in_front);
    }

    /// A request waits no longer.
    pub(super) fn dequeue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(id).filter(|request| request.waiting) else { return };
        request.waiting = false;
        self.queues.stop_waiting();
        if let Some(endpoint) = request.spec.affinity_endpoint {
            self.endpoints[endpoint].affinity.stop_waiting();
        }
    }
}
