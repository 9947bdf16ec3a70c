//! Sends waiting requests to endpoints, and sheds load beyond the limit of open requests.

use super::Balancer;
use super::selection::{Selection, Selector};
use crate::actions::{Action, RejectionReason};
use crate::endpoints::EndpointIndex;
use crate::ids::{Millis, RequestId};
use crate::requests::QueueIndex;

/// Number of requests that a dispatch may examine without sending them before it ends.
const MAX_FAILED_SELECTIONS: usize = 6;

/// The waiting request at the cursor of a queue.
struct NextRequest {
    queue: QueueIndex,
    position: usize,
    id: RequestId,
    urgency: f64,
}

/// The position in each queue at which the search for the next request starts; `None` for a queue that is skipped.
struct Cursors(Vec<Option<usize>>);

impl Cursors {
    fn new(queues: usize) -> Self {
        Cursors(vec![Some(0); queues])
    }

    fn position(&self, queue: QueueIndex) -> Option<usize> {
        self.0[queue.as_usize()]
    }

    fn skip_request(&mut self, next: &NextRequest) {
        self.0[next.queue.as_usize()] = Some(next.position + 1);
    }

    fn skip_queue(&mut self, queue: QueueIndex) {
        self.0[queue.as_usize()] = None;
    }
}

impl Balancer {
    /// Sends waiting requests, the most urgent first, as far as the threshold and the available endpoints allow.
    pub(super) fn dispatch(&mut self, now: Millis, out: &mut Vec<Action>) {
        if now >= self.list_valid_until() {
            if !self.revalidate_list(now, out) {
                self.reject_waiting(out);
            }
            return;
        }
        let mut cursors = Cursors::new(self.queues.len());
        let mut selections_left = MAX_FAILED_SELECTIONS;
        while self.queues.waiting() > 0 && selections_left > 0 && self.may_send_more() {
            let Some(next) = self.next_waiting(now, &cursors) else { return };
            if let Some(endpoint) = self.select(now, next.id) {
                self.queues.remove(next.queue, next.position);
                self.send(now, next.id, endpoint, out);
                continue;
            }
            selections_left -= 1;
            // Requests without affinity and without attempts may all go to the same endpoints. If one of them can't be
            // sent now, the rest of its queue is skipped too, because the requests behind it are no more urgent.
            let request = &self.requests[next.id];
            if request.spec.affinity_endpoint.is_some() || !request.attempts.is_empty() {
                cursors.skip_request(&next);
            } else {
                cursors.skip_queue(next.queue);
            }
        }
    }

    /// Whether the concurrency limit allows another request in flight.
    fn may_send_more(&self) -> bool {
        !self.shares_all_endpoints() || self.requests.running().len() < self.concurrency.window()
    }

    /// The most urgent of the requests at the cursors of the queues.
    fn next_waiting(&mut self, now: Millis, cursors: &Cursors) -> Option<NextRequest> {
        let mut best: Option<NextRequest> = None;
        for queue in self.queues.indices() {
            let Some(position) = cursors.position(queue) else { continue };
            let Some(id) = self.queues.waiting_at(queue, position, &self.requests) else { continue };
            let urgency = self.priorities().urgency(&self.requests[id], now);
            if best.as_ref().is_none_or(|best| urgency > best.urgency) {
                best = Some(NextRequest { queue, position, id, urgency });
            }
        }
        best
    }

    /// Selects the endpoint to which a request is sent now; `None` if the request keeps waiting.
    fn select(&mut self, now: Millis, id: RequestId) -> Option<EndpointIndex> {
        // The selector borrows all components, so it uses a copy of the random generator, which is stored back.
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

    /// Sends waiting requests to their affinity endpoint, the most urgent first, while the endpoint is available to
    /// them.
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

    /// The most urgent of the requests waiting for their affinity endpoint that may be sent there now.
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

    /// Gives up waiting requests while more requests are open than the limit allows: those with the lowest weight per
    /// unit of work first, and in each queue the last one first, because it would wait longest.
    pub(super) fn shed_load(&mut self, out: &mut Vec<Action>) {
        let max = self.settings.limits.max_open_requests;
        while self.queues.waiting() > 0 && self.requests.has_more_unanswered_than(max) {
            let Some(id) = self.lowest_weight_waiting() else { return };
            self.reject_or_fail(id, RejectionReason::Overload, out);
        }
    }

    fn lowest_weight_waiting(&self) -> Option<RequestId> {
        let priorities = self.priorities();
        let weight = |id: &RequestId| priorities.weight_per_work(&self.requests[*id]);
        let last_of_queues = self
            .queues
            .indices()
            .filter_map(|queue| self.queues.iter(queue).rev().find(|&id| self.requests.is_waiting(id)));
        last_of_queues.min_by(|left, right| weight(left).total_cmp(&weight(right)))
    }

    /// Gives up all waiting requests while the endpoint list is stale: any endpoint may be draining, and this proxy
    /// does not know which.
    fn reject_waiting(&mut self, out: &mut Vec<Action>) {
        let queued: Vec<RequestId> =
            self.queues.indices().flat_map(|queue| self.queues.iter(queue)).collect();
        for id in queued {
            if self.requests.is_waiting(id) {
                self.reject_or_fail_stale(id, out);
            }
        }
        self.queues.retain_waiting(&self.requests);
    }
}
