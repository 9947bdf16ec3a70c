//! Reports the end of an attempt to the driver.

use std::cell::Cell;
use std::rc::Rc;

use leadrelay_core::{EndpointId, Outcome, RequestId};
use tokio::time::Instant;
use tracing::info;

use crate::inbox::{AttemptEnd, Inbox, Input};
use crate::upstream::{UpstreamRequest, UpstreamResponse};

/// Reports how an attempt ended, exactly once. If the attempt's task ends without a report, dropping this reports the
/// attempt as reset, because the endpoint may have processed the request.
pub struct AttemptReport {
    pub inbox: Inbox,
    pub request: RequestId,
    /// The number of the attempt among those of the request, from 0.
    pub attempt: u32,
    pub endpoint: EndpointId,
    pub message: Rc<UpstreamRequest>,
    /// The start of the attempt; for a body that is forwarded while it is received, the time at which its last byte was
    /// read, once that has happened.
    pub sent_at: Rc<Cell<Instant>>,
    /// Whether the end of the attempt has been reported.
    pub reported: bool,
}

impl AttemptReport {
    /// Reports the end of the attempt, and its response if there is one.
    pub fn send(&mut self, outcome: Outcome, response: Option<UpstreamResponse>) {
        self.reported = true;
        let ended_at = response.as_ref().map_or_else(Instant::now, |response| response.first_byte_at);
        let latency = ended_at.saturating_duration_since(self.sent_at.get()).as_secs_f64() * 1000.0;
        if outcome != Outcome::Served {
            info!(
                request = self.message.request_id(),
                backend = %format_args!("{:016x}", self.endpoint.0),
                attempt = self.attempt,
                outcome = outcome.name(),
                latency_ms = latency.round(),
                "attempt failed"
            );
        }
        self.inbox.put(Input::AttemptEnded(AttemptEnd {
            request: self.request,
            attempt: self.attempt,
            latency,
            outcome,
            response,
        }));
    }
}

impl Drop for AttemptReport {
    fn drop(&mut self) {
        if !self.reported {
            self.send(Outcome::Reset, None);
        }
    }
}
