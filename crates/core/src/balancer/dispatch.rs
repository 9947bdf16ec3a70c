//! Sends waiting requests, and sheds those beyond the limit.

use super::Balancer;
use super::selection::{Selection, Selector};
use crate::actions::{Action, RejectionReason};
use crate::endpoints::EndpointIndex;
use crate::ids::{Millis, RequestId};
use crate::requests::QueueIndex;

/// Requests looked at in vain before the queues are left for now.
const MAX_LOOKS: usize = 6;

/// The request that is next in a queue.
struct Next {
    queue: QueueIndex,
    position: usize,
    id: RequestId,
    urgency: f64,
}

/// From which position on each queue is looked at; `None` for a queue that is passed over.
struct Cursors(Vec<Option<usize>>);

impl Cursors {
    fn new(queues: usize) -> Self {
        Cursors(vec![Some(0); queues])
    }

    fn position(&self, queue: QueueIndex) -> Option<usize> {
        self.0[queue.as_usize()]
    }

    fn skip_request(&mut self, next: &Next) {
        self.0[next.queue.as_usize()] = Some(next.position + 1);
    }

    fn skip_queue(&mut self, queue: QueueIndex) {
        self.0[queue.as_usize()] = None;
    }
}

impl Balancer {
    /// Sends waiting requests while the threshold lets them go, the most urgent first.
    pub(super) fn dispatch(&mut self, now: Millis, out: &mut Vec<Action>) {
        if now >= self.list_valid_until() {
            if !self.revalidate_list(now, out) {
                self.reject_waiting(out);
            }
            return;
        }
        let mut cursors = Cursors::new(self.queues.len());
        let mut looks = MAX_LOOKS;
        while self.queues.waiting() > 0 && looks > 0 && self.may_send_more() {
            let Some(next) = self.next_waiting(now, &cursors) else { return };
            if let Some(endpoint) = self.select(now, next.id) {
                self.queues.remove(next.queue, next.position);
                self.send(now, next.id, endpoint, out);
                continue;
            }
            looks -= 1;
            // A queue whose first request is held is passed over: those behind it are no more urgent. Only with
            // affinity or after an attempt do requests differ in where they may go.
            let request = &self.requests[next.id];
            if request.spec.affinity_endpoint.is_some() || !request.attempts.is_empty() {
                cursors.skip_request(&next);
            } else {
                cursors.skip_queue(next.queue);
            }
        }
    }

    /// Whether another request may be in flight.
    fn may_send_more(&self) -> bool {
        !self.shares_all_endpoints() || self.requests.running().len() < self.concurrency.window()
    }

    /// The most urgent of the requests that are next in their queues.
    fn next_waiting(&mut self, now: Millis, cursors: &Cursors) -> Option<Next> {
        let mut best: Option<Next> = None;
        for queue in self.queues.indices() {
            let Some(position) = cursors.position(queue) else { continue };
            let Some(id) = self.queues.waiting_at(queue, position, &self.requests) else { continue };
            let urgency = self.priorities().urgency(&self.requests[id], now);
            if best.as_ref().is_none_or(|best| urgency > best.urgency) {
                best = Some(Next { queue, position, id, urgency });
            }
        }
        best
    }

    /// The endpoint to which a request is sent now; `None` if it is held.
    fn select(&mut self, now: Millis, id: RequestId) -> Option<EndpointIndex> {
        // The selector borrows all components, so it draws from a copy that is put back.
        let mut rng = self.rng.clone();
        let Selection { endpoint, decision } = self.selector(now).select(id, &mut rng);
        self.rng = rng;
        if let Some(decision) = decision {
            self.decisions.record(decision);
        }
        endpoint
    }

    pub(super) fn selector(&self, now: Millis) -> Selector<'_> {
        Selector {
            now,
            epoch: self.schedule.epoch(),
            settings: &self.settings,
            has_idempotent_class: self.has_idempotent_class,
            endpoints: &self.endpoints,
            tiers: &self.tiers,
            requests: &self.requests,
            queues: &self.queues,
            latency: &self.latency,
            arrivals: &self.arrivals,
            outliers: &self.outliers,
            sharing: self.sharing(),
        }
    }

    /// Sends requests whose key has its affinity with an endpoint while that may get more, the most urgent first.
    pub(super) fn dispatch_affinity(&mut self, now: Millis, endpoint: EndpointIndex, out: &mut Vec<Action>) {
        if now >= self.list_valid_until() {
            return;
        }
        while self.endpoints[endpoint].affinity.may_send() && self.may_send_more() {
            let requests = &self.requests;
            self.endpoints[endpoint].affinity.queue.retain(|&id| requests.is_waiting(id));
            let Some(id) = self.next_with_affinity(now, endpoint) else { return };
            self.send(now, id, endpoint, out);
        }
    }

    /// The most urgent request that waits for an endpoint by affinity and may be sent there now.
    fn next_with_affinity(&self, now: Millis, endpoint: EndpointIndex) -> Option<RequestId> {
        let selector = self.selector(now);
        let may_be_sent = |id: &RequestId| {
            let request = &self.requests[*id];
            !request.may_have_run()
                && selector.is_eligible(endpoint, request)
                && selector.is_admitted(endpoint, *id)
        };
        let priorities = self.priorities();
        let queue = self.endpoints[endpoint].affinity.queue.iter().copied();
        queue.filter(may_be_sent).max_by(|left, right| {
            priorities.compare_urgency(&self.requests[*left], &self.requests[*right], now)
        })
    }

    /// Gives up what waits beyond the requests that may be open, those with the lowest weight first and among their
    /// like the last to come, which would wait longest.
    pub(super) fn shed_load(&mut self, out: &mut Vec<Action>) {
        let max = self.settings.limits.max_open_requests;
        while self.queues.waiting() > 0 && self.requests.has_more_unanswered_than(max) {
            let Some(id) = self.lightest_waiting() else { return };
            self.answer(id, RejectionReason::Overload, out);
        }
    }

    fn lightest_waiting(&self) -> Option<RequestId> {
        let priorities = self.priorities();
        let weight = |id: &RequestId| priorities.weight_per_work(&self.requests[*id]);
        let last_of_queues = self
            .queues
            .indices()
            .filter_map(|queue| self.queues.iter(queue).rev().find(|&id| self.requests.is_waiting(id)));
        last_of_queues.min_by(|left, right| weight(left).total_cmp(&weight(right)))
    }

    /// Rejects all that wait: any endpoint may be draining, and it is not known which.
    fn reject_waiting(&mut self, out: &mut Vec<Action>) {
        let queued: Vec<RequestId> =
            self.queues.indices().flat_map(|queue| self.queues.iter(queue)).collect();
        for id in queued {
            if self.requests.is_waiting(id) {
                self.answer_stale_list(id, out);
            }
        }
        self.queues.retain_waiting(&self.requests);
    }
}
