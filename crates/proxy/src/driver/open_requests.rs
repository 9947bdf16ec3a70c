//! Open requests: their arrival, their deadlines, and the final response to each.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use leadrelay_core::{Event, Invariant, Millis, Outcome, RejectionReason, RequestId, UploadStage};
use tokio::sync::oneshot;
use tokio::time::Instant;
use tracing::debug;

use super::Driver;
use super::timers::Timer;
use crate::access_record::AccessRecord;
use crate::classes::ClassLease;
use crate::inbox::{Arrival, FinalResponse};
use crate::open_ids::ReservedRequestId;
use crate::upstream::{RequestState, SharedRequestState, Upload, UpstreamRequest, UpstreamResponse};

/// If a request has no final response this long before its deadline, the driver itself responds to it.
const RESPONSE_MARGIN: Duration = Duration::from_millis(4);
/// Maximum time for receiving a body that is forwarded while it is received.
const MAX_UPLOAD_TIME: Duration = Duration::from_secs(600);
/// A response that is later than the deadline by more than this violates an invariant.
const LATE_RESPONSE: Duration = Duration::from_millis(500);

/// A request without a final response, or with attempts in flight.
pub struct OpenRequest {
    /// Sends the final response; `None` once the request is closed.
    pub(super) response_sender: Option<oneshot::Sender<FinalResponse>>,
    /// The state of the request, shared with its attempts. An attempt may start only while the request is pending, and
    /// stops writing an incomplete request once the request is abandoned.
    pub(super) state: Rc<SharedRequestState>,
    pub(super) message: Rc<UpstreamRequest>,
    /// When the client stops waiting, or the deadline of the shutdown if that is earlier. While an attempt reads a body
    /// that is forwarded while it is received, this is the earliest time at which the client may stop waiting, as far
    /// as it was known when the deadline was last updated.
    pub(super) deadline: Instant,
    /// The time by which a body that is forwarded while it is received has to be complete; `None` while no attempt
    /// reads such a body.
    upload_deadline: Option<Instant>,
    /// The start of the latest attempt; for a body that is forwarded while it is received, the time at which its last
    /// byte was read, once that has happened.
    pub(super) sent_at: Rc<Cell<Instant>>,
    /// The number of attempts that have been started.
    pub(super) attempts: u32,
    /// The number of attempts that have not ended.
    pub(super) attempts_in_flight: u32,
    /// Keeps the entry of the request's class from being reused.
    _class_lease: ClassLease,
    /// Reserves the request's id, so that other requests with the same id are recognized.
    _reserved_id: Option<ReservedRequestId>,
    pub(super) access_record: Option<Rc<AccessRecord>>,
    /// The latest error response from an upstream that may be passed on to the client.
    pub(super) upstream_error: Option<UpstreamResponse>,
    /// How the latest attempt ended.
    pub(super) last_outcome: Option<Outcome>,
}

impl OpenRequest {
    fn new(arrival: Arrival, deadline: Instant, now: Instant) -> Self {
        OpenRequest {
            response_sender: Some(arrival.response_sender),
            state: Rc::new(SharedRequestState::pending()),
            message: Rc::new(arrival.message),
            deadline,
            upload_deadline: None,
            sent_at: Rc::new(Cell::new(now)),
            attempts: 0,
            attempts_in_flight: 0,
            _class_lease: arrival.class_lease,
            _reserved_id: arrival.reserved_id,
            access_record: arrival.access_record,
            upstream_error: None,
            last_outcome: None,
        }
    }

    /// Whether a response sent now would violate the request's deadline.
    fn is_late(&self) -> bool {
        self.current_deadline().elapsed() > LATE_RESPONSE
    }

    /// When the client stops waiting, according to what is known now of a body that is forwarded while it is received.
    fn current_deadline(&self) -> Instant {
        let response_deadline = self.message.upload().map(Upload::response_deadline);
        match (response_deadline, self.upload_deadline) {
            (Some(response_deadline), Some(upload_deadline)) => response_deadline.min(upload_deadline),
            _ => self.deadline,
        }
    }
}

impl Driver {
    /// Registers a request that has just arrived and passes it to the balancer.
    pub(super) fn accept(&mut self, arrival: Arrival) {
        let id = arrival.id;
        let class = arrival.class;
        let tenant = arrival.tenant;
        let key = arrival.affinity_key;
        let announcement = arrival.announcement;
        let expected_cost = arrival.expected_cost;
        let deadline = self.limit_to_shutdown(arrival.deadline);
        let respond_by = deadline - RESPONSE_MARGIN;
        let now = Instant::now();
        let timeout = respond_by.saturating_duration_since(now).as_secs_f64() * 1000.0;
        debug!(
            request_number = id.0,
            request = arrival.message.request_id(),
            class = class.0,
            timeout_ms = timeout.round(),
            ?announcement,
            streamed = arrival.message.upload().is_some(),
            "request accepted"
        );
        self.open_requests.insert(id, OpenRequest::new(arrival, deadline, now));
        self.stats.requests += 1;
        self.timers.add(respond_by, Timer::ResponseDue(id));
        self.handle(Event::Request { id, class, tenant, key, timeout, announcement, expected_cost });
    }

    /// Handles the start of an attempt that reads a body which is forwarded while it is received. From now on the body
    /// is read, and the client's timeout counts from the time at which it may have written the last byte.
    pub(super) fn upload_started(&mut self, id: RequestId) {
        let Some(open) = self.open_requests.get_mut(&id) else { return };
        open.upload_deadline = Some(Instant::now() + MAX_UPLOAD_TIME);
        self.update_deadline(id);
        self.handle(Event::Upload { request: id, stage: UploadStage::Started });
    }

    /// Handles the last byte of a body that is forwarded while it is received.
    pub(super) fn upload_complete(&mut self, id: RequestId) {
        self.update_deadline(id);
        let Some(open) = self.open_requests.get_mut(&id) else { return };
        if open.upload_deadline.take().is_some() {
            open.sent_at.set(Instant::now());
            self.handle(Event::Upload { request: id, stage: UploadStage::Complete });
        }
    }

    /// Updates the deadline of a request by the progress of its upload, and sets a timer for the new deadline.
    fn update_deadline(&mut self, id: RequestId) {
        let Some(open) = self.open_requests.get(&id) else { return };
        let deadline = self.limit_to_shutdown(open.current_deadline());
        if deadline == open.deadline {
            return;
        }
        let earliest_check = Instant::now() + RESPONSE_MARGIN;
        self.timers.add(earliest_check.max(deadline - RESPONSE_MARGIN), Timer::ResponseDue(id));
        if let Some(open) = self.open_requests.get_mut(&id) {
            open.deadline = deadline;
        }
    }

    /// The earlier of `deadline` and the deadline of the shutdown, if the process is shutting down.
    fn limit_to_shutdown(&self, deadline: Instant) -> Instant {
        self.shutdown_deadline.map_or(deadline, |shutdown| shutdown.min(deadline))
    }

    /// Responds to a request whose deadline is near, unless the client turns out to be still writing.
    pub(super) fn respond_if_due(&mut self, id: RequestId, now: Instant) {
        self.update_deadline(id);
        if self.open_requests.get(&id).is_some_and(|open| open.deadline <= now + RESPONSE_MARGIN) {
            self.respond_at_deadline(id);
        }
    }

    /// Responds to a request at its deadline. If an attempt was made, the response is a failure, because the request
    /// may have been processed; otherwise it is a rejection.
    fn respond_at_deadline(&mut self, id: RequestId) {
        let attempted = self.open_requests.get(&id).is_some_and(|open| open.attempts > 0);
        if let Some(response_sender) = self.close(id, RequestState::Abandoned) {
            let response = match attempted {
                true => FinalResponse::Failed,
                false => FinalResponse::Rejected { retry_after: None, attempted: false },
            };
            let _ = response_sender.send(response); // the client may have disconnected
            self.handle(Event::ClientClosed(id));
        }
    }

    /// Responds to all open requests, because the process is about to end.
    pub(super) fn respond_to_all(&mut self) {
        let pending = self.open_requests.iter().filter(|(_, open)| open.response_sender.is_some());
        let pending: Vec<RequestId> = pending.map(|(id, _)| *id).collect();
        for id in pending {
            self.respond_at_deadline(id);
        }
    }

    /// Handles the disconnection of a request's client.
    pub(super) fn client_disconnected(&mut self, id: RequestId) {
        if self.close(id, RequestState::Abandoned).is_some() {
            self.handle(Event::ClientClosed(id));
        }
    }

    /// Responds with an upstream's error response if there is one, and otherwise with a rejection, which means that a
    /// retry is harmless.
    pub(super) fn reject(&mut self, id: RequestId, retry_after: Option<Millis>, reason: RejectionReason) {
        self.parts.metrics.request_rejected(reason);
        let attempted = self.open_requests.get(&id).is_some_and(|open| open.attempts > 0);
        let error_response = self.take_upstream_error(id);
        if let Some(response_sender) = self.close(id, RequestState::Answered) {
            self.stats.record_rejection(attempted);
            debug!(request_number = id.0, reason = reason.name(), attempted, "request rejected");
            let rejected = FinalResponse::Rejected { retry_after, attempted };
            // The client may have disconnected.
            let _ = response_sender.send(error_response.map_or(rejected, FinalResponse::UpstreamError));
        }
    }

    /// Responds with an upstream's error response if there is one, and otherwise that the request has failed.
    pub(super) fn fail(&mut self, id: RequestId) {
        let error_response = self.take_upstream_error(id);
        if let Some(response_sender) = self.close(id, RequestState::Answered) {
            self.stats.failed += 1;
            // The client may have disconnected.
            let _ = response_sender
                .send(error_response.map_or(FinalResponse::Failed, FinalResponse::UpstreamError));
        }
    }

    fn take_upstream_error(&mut self, id: RequestId) -> Option<UpstreamResponse> {
        self.open_requests.get_mut(&id)?.upstream_error.take()
    }

    /// Closes a request, so that no attempt starts for it any more. Returns the sender for its final response, or
    /// `None` if the request was already closed.
    pub(super) fn close(
        &mut self, id: RequestId, state: RequestState,
    ) -> Option<oneshot::Sender<FinalResponse>> {
        let open = self.open_requests.get_mut(&id)?;
        open.state.set(state);
        let response_sender = open.response_sender.take();
        if response_sender.is_some() && open.is_late() && !(open.message.client_disconnected)() {
            self.parts.metrics.invariant_violated(Invariant::AnsweredInTime, open.message.request_id());
        }
        self.remove_if_ended(id);
        response_sender
    }

    /// Removes a request if it is closed and has no attempts in flight.
    pub(super) fn remove_if_ended(&mut self, id: RequestId) {
        let has_ended = |open: &OpenRequest| open.response_sender.is_none() && open.attempts_in_flight == 0;
        if self.open_requests.get(&id).is_some_and(has_ended) {
            self.open_requests.remove(&id);
        }
    }
}
