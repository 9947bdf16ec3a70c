//! The report of an attempt's end to the driver.

use std::cell::Cell;
use std::rc::Rc;

use leadrelay_core::{EndpointId, Outcome, RequestId};
use tokio::time::Instant;
use tracing::info;

use crate::inbox::{AttemptEnd, Inbox, Input};
use crate::upstream::{UpstreamRequest, UpstreamResponse};

/// Reports how an attempt ended, exactly once. An attempt whose task ends without a report counts as reset: it may have
/// been processed.
pub struct AttemptReport {
    pub inbox: Inbox,
    pub request: RequestId,
    pub attempt: u32,
    pub endpoint: EndpointId,
    pub message: Rc<UpstreamRequest>,
    /// When the last byte of the request was sent, as far as is known.
    pub sent_at: Rc<Cell<Instant>>,
    /// Whether the end has been reported.
    pub reported: bool,
}

impl AttemptReport {
    /// Reports the end.
    pub fn send(&mut self, outcome: Outcome, reply: Option<UpstreamResponse>) {
        self.reported = true;
        let ended_at = reply.as_ref().map_or_else(Instant::now, |reply| reply.first_byte_at);
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
            reply,
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
