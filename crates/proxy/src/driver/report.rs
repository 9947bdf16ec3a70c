//! How an attempt's end gets back to the driver.

use std::cell::Cell;
use std::rc::Rc;

use leadrelay_core::{EndpointId, Outcome, RequestId};
use tokio::time::Instant;
use tracing::info;

use crate::inbox::{Inbox, Input};
use crate::upstream::{UpstreamRequest, UpstreamResponse};

/// Reports how an attempt ended, exactly once: an attempt that dies on the way may have run.
pub struct Report {
    pub inbox: Inbox,
    pub request: RequestId,
    pub attempt: u32,
    pub backend: EndpointId,
    /// The request, for its id.
    pub message: Rc<UpstreamRequest>,
    /// When the request had gone out whole, as far as is known.
    pub sent: Rc<Cell<Instant>>,
    /// Whether the end has been reported.
    pub reported: bool,
}

impl Report {
    pub fn send(&mut self, outcome: Outcome, reply: Option<UpstreamResponse>) {
        self.reported = true;
        let at = reply.as_ref().map_or_else(Instant::now, |reply| reply.started_at);
        let latency = at.saturating_duration_since(self.sent.get()).as_secs_f64() * 1000.0;
        let (request, attempt) = (self.request, self.attempt);
        if outcome != Outcome::Served {
            let backend = format_args!("{:016x}", self.backend.0);
            let id = self.message.request_id();
            info!(request = id, backend = %backend, attempt, outcome = outcome.name(), latency_ms = latency.round(), "attempt failed");
        }
        self.inbox.put(Input::Ended { request, attempt, latency, outcome, reply });
    }
}

impl Drop for Report {
    fn drop(&mut self) {
        if !self.reported {
            self.send(Outcome::Reset, None);
        }
    }
}
