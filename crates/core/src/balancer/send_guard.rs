//! The last check before a send, which can't be undone: it prevents every send that would break an invariant.

use super::{Balancer, is_idempotent};
use crate::endpoints::EndpointIndex;
use crate::ids::{Millis, RequestId};
use crate::invariant::Invariant;
use crate::requests::Request;

impl Balancer {
    /// The invariant that a send would break; `None` if the send is allowed.
    pub(super) fn violated_by_send(
        &self, now: Millis, id: RequestId, endpoint: EndpointIndex,
    ) -> Option<Invariant> {
        let Some(request) = self.requests.get(id).filter(|request| !request.done) else {
            return Some(Invariant::RequestOpen);
        };
        let entry = &self.endpoints[endpoint];
        if !entry.is_in_service() {
            Some(Invariant::BackendInService)
        } else if now >= self.list_valid_until() {
            Some(Invariant::ListCurrent)
        } else if request.is_running() {
            Some(Invariant::SingleAttempt)
        } else if !self.is_repeat_allowed(request, endpoint, now) {
            Some(Invariant::RepeatAllowed)
        } else if entry.is_warming_up() && !entry.slow_start.covers_send() {
            Some(Invariant::SlowStart)
        } else {
            None
        }
    }

    /// Whether the request's idempotency allows a send to an endpoint, given that earlier attempts may have run.
    fn is_repeat_allowed(&self, request: &Request, endpoint: EndpointIndex, now: Millis) -> bool {
        let class = &self.settings.classes[request.spec.class];
        match request.repeat_window(class) {
            Some(window) => {
                let first_endpoint = &self.endpoints[window.first_endpoint];
                now < window.until && self.endpoints[endpoint].deduplicates(first_endpoint, window.scope)
            }
            None => is_idempotent(class) || !request.may_have_run(),
        }
    }
}
