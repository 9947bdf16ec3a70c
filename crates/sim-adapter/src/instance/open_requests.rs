//! Names of requests, for as long as anything may still be said of them.

use std::collections::HashMap;

use leadrelay_core::RequestId;
use rustc_hash::{FxBuildHasher, FxHashMap};

/// Requests by their names on the wire and by their ids.
#[derive(Default)]
pub struct OpenRequests {
    ids: HashMap<String, u64, FxBuildHasher>,
    requests: FxHashMap<u64, OpenRequest>,
    next_id: u64,
}

struct OpenRequest {
    name: String,
    /// Attempts whose outcome has not come yet.
    attempts_in_flight: u32,
    /// Whether its client has its answer, or waits for none.
    finished: bool,
}

impl OpenRequests {
    /// The id that the next request will get.
    pub fn next_id(&self) -> RequestId {
        RequestId(self.next_id)
    }

    /// Adds a request under the next id.
    pub fn insert(&mut self, name: &str) {
        self.ids.insert(name.to_owned(), self.next_id);
        let request = OpenRequest { name: name.to_owned(), attempts_in_flight: 0, finished: false };
        self.requests.insert(self.next_id, request);
        self.next_id += 1;
    }

    /// The id of a request; `None` if it is not known any more.
    pub fn id(&self, name: &str) -> Option<RequestId> {
        self.ids.get(name).copied().map(RequestId)
    }

    /// Records that an attempt is sent; returns the request's name if it is known.
    pub fn record_attempt(&mut self, id: RequestId) -> Option<&str> {
        let request = self.requests.get_mut(&id.0)?;
        request.attempts_in_flight += 1;
        Some(&request.name)
    }

    /// Records that an attempt has ended, and whether the request has with it.
    pub fn record_outcome(&mut self, id: RequestId, finished: bool) {
        if let Some(request) = self.requests.get_mut(&id.0) {
            request.attempts_in_flight = request.attempts_in_flight.saturating_sub(1);
            request.finished |= finished;
        }
    }

    /// Records that a request has ended; returns its name if it is known.
    pub fn record_end(&mut self, id: RequestId) -> Option<&str> {
        let request = self.requests.get_mut(&id.0)?;
        request.finished = true;
        Some(&request.name)
    }

    /// Drops a finished request once all its attempts have ended.
    pub fn remove_if_complete(&mut self, id: RequestId) {
        let is_complete = |request: &OpenRequest| request.finished && request.attempts_in_flight == 0;
        if self.requests.get(&id.0).is_some_and(is_complete)
            && let Some(request) = self.requests.remove(&id.0)
        {
            self.ids.remove(&request.name);
        }
    }
}
