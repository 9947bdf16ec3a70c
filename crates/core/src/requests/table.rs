//! The table of open requests.

use std::ops::Index;

use rustc_hash::FxHashMap;

use super::{Attempt, Request};
use crate::endpoints::EndpointIndex;
use crate::ids::RequestId;

/// All open requests, and which of them have an attempt in flight.
#[derive(Default)]
pub(crate) struct RequestTable {
    requests: FxHashMap<RequestId, Request>,
    /// Requests with an attempt that has not ended, in the order in which they were sent.
    running: Vec<RequestId>,
}

impl RequestTable {
    pub fn insert(&mut self, id: RequestId, request: Request) {
        self.requests.insert(id, request);
    }

    pub fn get(&self, id: RequestId) -> Option<&Request> {
        self.requests.get(&id)
    }

    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut Request> {
        self.requests.get_mut(&id)
    }

    /// All open requests.
    pub fn iter(&self) -> impl Iterator<Item = &Request> {
        self.requests.values()
    }

    /// Whether more than `max` requests still need a response.
    pub fn has_more_unanswered_than(&self, max: usize) -> bool {
        self.requests.len() > max && self.requests.values().filter(|request| !request.done).count() > max
    }

    /// Whether a request waits to be sent.
    pub fn is_waiting(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|request| request.waiting)
    }

    /// Requests with an attempt that has not ended, in the order in which they were sent.
    pub fn running(&self) -> &[RequestId] {
        &self.running
    }

    /// Adds an attempt that is sent now.
    pub fn start_attempt(&mut self, id: RequestId, attempt: Attempt) {
        let request = self.requests.get_mut(&id).expect("only open requests are sent");
        request.attempts.push(attempt);
        self.running.push(id);
    }

    /// Removes a request from the running ones, because its attempt has ended.
    pub fn end_attempt(&mut self, id: RequestId) {
        self.running.retain(|running| *running != id);
    }

    /// Marks a request as needing no response any more, and removes it if all its attempts have ended.
    pub fn finish(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.done = true;
        if !request.is_running() {
            self.requests.remove(&id);
        }
    }

    /// All endpoints that requests refer to.
    pub fn referenced_endpoints(&self) -> impl Iterator<Item = EndpointIndex> {
        self.requests.values().flat_map(|request| {
            let attempted = request.attempts.iter().map(|attempt| attempt.endpoint);
            attempted.chain(request.spec.affinity_endpoint)
        })
    }
}

impl Index<RequestId> for RequestTable {
    type Output = Request;

    fn index(&self, id: RequestId) -> &Request {
        &self.requests[&id]
    }
}
