//! Gives up requests: decides when, and whether the client gets a rejection with a retry delay or a failure.

use super::Balancer;
use crate::actions::{Action, RejectionReason};
use crate::hash::unit_hash;
use crate::ids::{Millis, RequestId};
use crate::outlier_record::MAX_EJECTION_TIME;
use crate::requests::Request;
use crate::schedule::TICK;

/// Time reserved before a request's deadline for the final response of the proxy.
pub(super) const FINAL_RESPONSE_MARGIN: Millis = 2.0 * TICK + 5.0;
/// Time between giving up a running request and the moment at which a response stops being useful.
const RUNNING_MARGIN: Millis = 6.0;
/// A waiting request is given up once the time left for a useful response is less than this fraction of its expected
/// latency.
const MIN_LATENCY_FRACTION: f64 = 0.5;
/// A running request gets its own timer once a response stops being useful within this time.
const EXPIRY_TIMER_LEAD: Millis = 1.5 * TICK;
/// Bounds of the `retry_after` delay of a rejection, before jitter.
const RETRY_AFTER: std::ops::RangeInclusive<Millis> = 50.0..=MAX_EJECTION_TIME;
/// The `retry_after` delay, before jitter, of a request rejected because the endpoint list may be stale.
const STALE_LIST_RETRY_AFTER: Millis = 1000.0;

impl Balancer {
    /// Gives the final response to a request: a rejection if the client can safely retry it, or else a failure.
    pub(super) fn reject_or_fail(&mut self, id: RequestId, reason: RejectionReason, out: &mut Vec<Action>) {
        let retry_after = self.retry_after(id);
        self.reject_or_fail_with_retry_after(id, retry_after, reason, out);
    }

    /// Gives the final response to a request that waits while the endpoint list may be stale.
    pub(super) fn reject_or_fail_stale(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let retry_after = STALE_LIST_RETRY_AFTER * retry_jitter(id);
        self.reject_or_fail_with_retry_after(id, retry_after, RejectionReason::StaleList, out);
    }

    fn reject_or_fail_with_retry_after(
        &mut self, id: RequestId, retry_after: Millis, reason: RejectionReason, out: &mut Vec<Action>,
    ) {
        let is_response_owed = |request: &&Request| !request.done && !request.response_started;
        let Some(request) = self.requests.get(id).filter(is_response_owed) else { return };
        let class = &self.settings.classes[request.spec.class];
        out.push(match request.may_be_rejected(class) {
            true => Action::Reject { request: id, retry_after: Some(retry_after), reason },
            false => Action::Fail(id),
        });
        self.finish(id);
    }

    /// The delay after which a rejected client should retry: the time in which this proxy's own slots are expected to
    /// serve all requests that wait now. Jitter keeps clients that are rejected together from retrying together.
    fn retry_after(&self, id: RequestId) -> Millis {
        let served_per_ms = self.tiers.own_throughput() / self.latency.mean();
        let wait = (self.queues.waiting() as f64 + 1.0) / served_per_ms.max(1e-9);
        wait.clamp(*RETRY_AFTER.start(), *RETRY_AFTER.end()) * retry_jitter(id)
    }

    /// Finishes a request to which no response is owed any more. Its record is removed once all its attempts have
    /// ended.
    pub(super) fn finish(&mut self, id: RequestId) {
        self.dequeue(id);
        self.requests.finish(id);
    }

    /// Records that a streamed response has started; it is the final response to the client.
    pub(super) fn handle_response_start(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(id) {
            request.response_started = true;
        }
    }

    /// The time until which a response is useful: the deadline, if the class gives weight to late responses and there
    /// is capacity for them, or else the latency objective.
    fn useful_until(&self, request: &Request) -> Millis {
        if request.uploading {
            return f64::INFINITY; // no deadline runs while the client still sends the body
        }
        let spec = &request.spec;
        let late_response_counts = self.settings.classes[spec.class].late_fraction > 0.0;
        let is_overloaded = request.waiting && self.queues.waiting() > self.requests.running().len();
        if late_response_counts && !is_overloaded {
            spec.deadline
        } else {
            spec.objective_at.min(spec.deadline)
        }
    }

    /// Gives up waiting requests that can no longer be expected to get a response while it is useful.
    pub(super) fn expire_waiting(&mut self, now: Millis, out: &mut Vec<Action>) {
        for queue in self.queues.indices() {
            let expired: Vec<RequestId> =
                self.queues.iter(queue).filter(|&id| self.is_expired_waiting(id, now)).collect();
            for id in expired {
                self.reject_or_fail(id, RejectionReason::TooLate, out);
            }
        }
    }

    fn is_expired_waiting(&self, id: RequestId, now: Millis) -> bool {
        let Some(request) = self.requests.get(id).filter(|request| request.waiting) else { return false };
        let margin = FINAL_RESPONSE_MARGIN.max(MIN_LATENCY_FRACTION * self.expected_latency(request));
        now + margin > self.useful_until(request)
    }

    /// Sets a timer for a running request to which a response will soon stop being useful.
    pub(super) fn set_expiry_timer(&self, now: Millis, id: RequestId, out: &mut Vec<Action>) {
        let request = &self.requests[id];
        let useful_until = self.useful_until(request);
        if !request.done && !request.response_started && now + EXPIRY_TIMER_LEAD > useful_until {
            out.push(Action::Timer { token: id.0 + 1, at: useful_until - RUNNING_MARGIN });
        }
    }

    pub(super) fn expected_latency(&self, request: &Request) -> Millis {
        self.latency.expected(request.spec.class, request.spec.relative_cost)
    }
}

/// The jitter factor of the `retry_after` delay, between 0.75 and 1.25: it spreads retries over half of the delay.
fn retry_jitter(id: RequestId) -> f64 {
    0.75 + 0.5 * unit_hash(id.0, 0)
}
