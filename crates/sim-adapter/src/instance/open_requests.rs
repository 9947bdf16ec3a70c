//! Names and ids of requests, kept as long as messages or actions may still refer to the request.

use std::collections::HashMap;

use leadrelay_core::RequestId;
use rustc_hash::{FxBuildHasher, FxHashMap};

/// Requests indexed by their name in the simulator's protocol and by their id in the core.
#[derive(Default)]
pub struct OpenRequests {
    ids_by_name: HashMap<String, u64, FxBuildHasher>,
    requests_by_id: FxHashMap<u64, OpenRequest>,
    next_id: u64,
}

/// A request that messages or actions may still refer to.
struct OpenRequest {
    name: String,
    /// Number of attempts that have been sent and have no outcome yet.
    attempts_in_flight: u32,
    /// Whether the client has received a response or no longer waits for one.
    finished: bool,
}

impl OpenRequests {
    /// Returns the id that the next request will receive.
    pub fn next_id(&self) -> RequestId {
        RequestId(self.next_id)
    }

    /// Adds a request under the next id.
    pub fn insert(&mut self, name: &str) {
        self.ids_by_name.insert(name.to_owned(), self.next_id);
        let request = OpenRequest { name: name.to_owned(), attempts_in_flight: 0, finished: false };
        self.requests_by_id.insert(self.next_id, request);
        self.next_id += 1;
    }

    /// Returns the id of a request, or `None` if the request is unknown or has been removed.
    pub fn id(&self, name: &str) -> Option<RequestId> {
        self.ids_by_name.get(name).copied().map(RequestId)
    }

    /// Records that an attempt is sent. Returns the name of the request, or `None` if it has been removed.
    pub fn record_attempt(&mut self, id: RequestId) -> Option<&str> {
        let request = self.requests_by_id.get_mut(&id.0)?;
        request.attempts_in_flight += 1;
        Some(&request.name)
    }

    /// Records that an attempt has ended; `finished` indicates whether the request ended with it.
    pub fn record_outcome(&mut self, id: RequestId, finished: bool) {
        if let Some(request) = self.requests_by_id.get_mut(&id.0) {
            request.attempts_in_flight = request.attempts_in_flight.saturating_sub(1);
            request.finished |= finished;
        }
    }

    /// Records that a request has ended. Returns its name, or `None` if it has been removed.
    pub fn record_end(&mut self, id: RequestId) -> Option<&str> {
        let request = self.requests_by_id.get_mut(&id.0)?;
        request.finished = true;
        Some(&request.name)
    }

    /// Removes a request if it is finished and all its attempts have ended.
    pub fn remove_if_complete(&mut self, id: RequestId) {
        let is_complete = |request: &OpenRequest| request.finished && request.attempts_in_flight == 0;
        if self.requests_by_id.get(&id.0).is_some_and(is_complete)
            && let Some(request) = self.requests_by_id.remove(&id.0)
        {
            self.ids_by_name.remove(&request.name);
        }
    }
}
