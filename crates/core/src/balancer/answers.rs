//! Final answers: when a request is given up, and what its client is told.

use super::Balancer;
use crate::actions::{Action, RejectionReason};
use crate::hash::unit_hash;
use crate::ids::{Millis, RequestId};
use crate::outlier_record::MAX_EJECTION_TIME;
use crate::requests::Request;
use crate::schedule::TICK;

/// A final answer is given this long before the deadline.
pub(super) const ANSWER_MARGIN: Millis = 2.0 * TICK + 5.0;
/// A running request is given up this long before a response is of no more use.
const RUNNING_MARGIN: Millis = 6.0;
/// A waiting request is given up if a response is of use for less than this part of its expected latency.
const MIN_LATENCY_FRACTION: f64 = 0.5;
/// Ticks before its end at which a running request gets a timer of its own.
const TIMER_LEAD: Millis = 1.5 * TICK;
/// Bounds of the time after which a rejected client should come back.
const RETRY_AFTER: std::ops::RangeInclusive<Millis> = 50.0..=MAX_EJECTION_TIME;
/// The same for a request rejected for want of a current endpoint list.
const STALE_LIST_RETRY_AFTER: Millis = 1000.0;

impl Balancer {
    /// Gives the final answer: a rejection where the request surely had no effect, else a failure.
    pub(super) fn answer(&mut self, id: RequestId, reason: RejectionReason, out: &mut Vec<Action>) {
        let retry_after = self.retry_after(id);
        self.answer_with_retry_after(id, retry_after, reason, out);
    }

    /// Gives the final answer to a request that waits while the endpoint list may be out of date.
    pub(super) fn answer_stale_list(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let retry_after = STALE_LIST_RETRY_AFTER * retry_jitter(id);
        self.answer_with_retry_after(id, retry_after, RejectionReason::StaleList, out);
    }

    fn answer_with_retry_after(
        &mut self, id: RequestId, retry_after: Millis, reason: RejectionReason, out: &mut Vec<Action>,
    ) {
        let is_owed = |request: &&Request| !request.done && !request.response_started;
        let Some(request) = self.requests.get(id).filter(is_owed) else { return };
        let class = &self.settings.classes[request.spec.class];
        out.push(match request.may_be_rejected(class) {
            true => Action::Reject { request: id, retry_after: Some(retry_after), reason },
            false => Action::Fail(id),
        });
        self.finish(id);
    }

    /// When a rejected client should come back: when this proxy's own slots have most likely served all that wait now,
    /// spread so that those rejected together don't come back together.
    fn retry_after(&self, id: RequestId) -> Millis {
        let served_per_ms = self.tiers.own_throughput() / self.latency.mean();
        let wait = (self.queues.waiting() as f64 + 1.0) / served_per_ms.max(1e-9);
        wait.clamp(*RETRY_AFTER.start(), *RETRY_AFTER.end()) * retry_jitter(id)
    }

    /// Forgets a request that needs no answer any more, once all its attempts have ended.
    pub(super) fn finish(&mut self, id: RequestId) {
        self.dequeue(id);
        self.requests.finish(id);
    }

    /// A streamed response has started: the client has its answer.
    pub(super) fn handle_response_start(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(id) {
            request.response_started = true;
        }
    }

    /// Until when a response is of use: the latency objective, or the deadline where a late one earns something and
    /// there is capacity for it.
    fn useful_until(&self, request: &Request) -> Millis {
        if request.uploading {
            return f64::INFINITY; // its client still sends
        }
        let spec = &request.spec;
        let earns_late = self.settings.classes[spec.class].late_fraction > 0.0;
        let is_crowded = request.waiting && self.queues.waiting() > self.requests.running().len();
        if earns_late && !is_crowded { spec.deadline } else { spec.objective_at.min(spec.deadline) }
    }

    /// Gives up requests that have waited until a response would be of no more use.
    pub(super) fn expire_waiting(&mut self, now: Millis, out: &mut Vec<Action>) {
        for queue in self.queues.indices() {
            let expired: Vec<RequestId> =
                self.queues.iter(queue).filter(|&id| self.is_expired_waiting(id, now)).collect();
            for id in expired {
                self.answer(id, RejectionReason::TooLate, out);
            }
        }
    }

    fn is_expired_waiting(&self, id: RequestId, now: Millis) -> bool {
        let Some(request) = self.requests.get(id).filter(|request| request.waiting) else { return false };
        let margin = ANSWER_MARGIN.max(MIN_LATENCY_FRACTION * self.expected_latency(request));
        now + margin > self.useful_until(request)
    }

    /// Sets a timer for a running request that is about to be of no more use.
    pub(super) fn set_expiry_timer(&self, now: Millis, id: RequestId, out: &mut Vec<Action>) {
        let request = &self.requests[id];
        let useful_until = self.useful_until(request);
        if !request.done && !request.response_started && now + TIMER_LEAD > useful_until {
            out.push(Action::Timer { token: id.0 + 1, at: useful_until - RUNNING_MARGIN });
        }
    }

    pub(super) fn expected_latency(&self, request: &Request) -> Millis {
        self.latency.expected(request.spec.class, request.spec.relative_cost)
    }
}

/// Spreads the return of rejected clients over half of the time around it.
fn retry_jitter(id: RequestId) -> f64 {
    0.75 + 0.5 * unit_hash(id.0, 0)
}
