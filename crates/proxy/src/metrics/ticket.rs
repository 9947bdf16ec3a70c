//! The count of one request from its acceptance to its end.

use std::rc::Rc;
use std::sync::Arc;

use prometheus_client::metrics::gauge::Gauge;
use tokio::time::Instant;

use super::requests::{ClassMetrics, RequestMetrics};
use crate::access_record::AccessRecord;
use crate::cause::Cause;

/// Counts a request that has been accepted. It ends for one cause; dropped without one, its client has disconnected.
pub struct RequestTicket {
    pending: Gauge,
    class: Arc<ClassMetrics>,
    arrived_at: Instant,
    /// The record for the access event; `None` if the request is not sampled.
    access_record: Option<Rc<AccessRecord>>,
    has_ended: bool,
}

impl RequestTicket {
    pub(super) fn new(requests: &RequestMetrics, class: &str, arrived_at: Instant) -> Self {
        requests.pending.inc();
        RequestTicket {
            pending: requests.pending.clone(),
            class: requests.class(class),
            arrived_at,
            access_record: None,
            has_ended: false,
        }
    }

    /// Keeps the record for the access event, which is written at the end.
    pub fn set_access_record(&mut self, access_record: Option<Rc<AccessRecord>>) {
        self.access_record = access_record;
    }

    /// Counts the end of the request.
    pub fn end(mut self, cause: Cause) {
        self.count(cause);
    }

    fn count(&mut self, cause: Cause) {
        self.has_ended = true;
        let elapsed = self.arrived_at.elapsed();
        self.class.request_ended(cause, elapsed);
        if let Some(access_record) = &self.access_record {
            access_record.log(cause, elapsed);
        }
    }
}

impl Drop for RequestTicket {
    fn drop(&mut self) {
        if !self.has_ended {
            self.count(Cause::ClientDisconnected);
        }
        self.pending.dec();
    }
}
