//! Open requests: their arrival, their deadlines, and their one final answer.

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
use crate::inbox::{Answer, Arrival};
use crate::open_ids::OpenId;
use crate::upstream::{RequestState, UpstreamRequest, UpstreamResponse};

/// A request that is still unanswered this long before its client gives up is answered by the driver itself.
const ANSWER_MARGIN: Duration = Duration::from_millis(4);
/// Longest time for which a body may be received while it is forwarded.
const MAX_UPLOAD_TIME: Duration = Duration::from_secs(600);
/// An answer this long after the deadline violates an invariant.
const LATE_ANSWER: Duration = Duration::from_millis(500);

/// A request that lacks its answer or has attempts in flight.
pub struct OpenRequest {
    /// Where its answer goes; `None` once it has been taken.
    pub(super) answer: Option<oneshot::Sender<Answer>>,
    /// Whether an attempt may still start for it, or continue.
    pub(super) state: Rc<Cell<RequestState>>,
    pub(super) message: Rc<UpstreamRequest>,
    /// When its client gives up.
    pub(super) deadline: Instant,
    /// How long its client waits after the last byte of a body that is still being received.
    upload_timeout: Option<Duration>,
    /// When the last byte of the latest attempt was sent, as far as is known.
    pub(super) sent_at: Rc<Cell<Instant>>,
    /// How many attempts have been made.
    pub(super) attempts: u32,
    /// How many of them have not ended.
    pub(super) attempts_in_flight: u32,
    /// Keeps the rules of its class.
    _class_lease: ClassLease,
    /// Keeps its id from other requests.
    _open_id: Option<OpenId>,
    pub(super) access_record: Option<Rc<AccessRecord>>,
    /// The last error response from an upstream, if clients may see it.
    pub(super) upstream_error: Option<UpstreamResponse>,
    /// How the latest attempt ended.
    pub(super) last_outcome: Option<Outcome>,
}

impl OpenRequest {
    fn new(arrival: Arrival, deadline: Instant, now: Instant) -> Self {
        OpenRequest {
            answer: Some(arrival.answer),
            state: Rc::new(Cell::new(RequestState::Pending)),
            message: Rc::new(arrival.message),
            deadline,
            upload_timeout: arrival.upload_timeout,
            sent_at: Rc::new(Cell::new(now)),
            attempts: 0,
            attempts_in_flight: 0,
            _class_lease: arrival.class_lease,
            _open_id: arrival.open_id,
            access_record: arrival.access_record,
            upstream_error: None,
            last_outcome: None,
        }
    }

    /// Whether an answer at present would violate the request's deadline. While its body is received it has none.
    fn is_late(&self) -> bool {
        self.upload_timeout.is_none() && self.deadline.elapsed() > LATE_ANSWER
    }
}

impl Driver {
    /// Takes in a request that has just arrived.
    pub(super) fn accept(&mut self, arrival: Arrival) {
        let id = arrival.id;
        let class = arrival.class;
        let tenant = arrival.tenant;
        let key = arrival.key;
        let announcement = arrival.announcement;
        let expected_cost = arrival.expected_cost;
        let deadline = self.limit_to_shutdown(arrival.deadline);
        let answer_by = deadline - ANSWER_MARGIN;
        let now = Instant::now();
        let timeout = answer_by.saturating_duration_since(now).as_secs_f64() * 1000.0;
        debug!(
            request_number = id.0,
            request = arrival.message.request_id(),
            class = class.0,
            timeout_ms = timeout.round(),
            ?announcement,
            streamed = arrival.upload_timeout.is_some(),
            "request accepted"
        );
        self.open_requests.insert(id, OpenRequest::new(arrival, deadline, now));
        self.stats.requests += 1;
        self.timers.add(answer_by, Timer::AnswerDue(id));
        self.handle(Event::Request { id, class, tenant, key, timeout, announcement, expected_cost });
    }

    /// An attempt takes a body that is forwarded while it is received. From here on the body is read, and the client's
    /// time stops until its last byte; before that the client may have sent all of it, so the time so far counts.
    pub(super) fn upload_started(&mut self, id: RequestId, client_timeout: Duration) {
        let deadline = self.limit_to_shutdown(Instant::now() + MAX_UPLOAD_TIME);
        let uploading = self.open_requests.get_mut(&id).filter(|open| open.upload_timeout.is_some());
        let Some(open) = uploading else { return };
        open.upload_timeout = Some(client_timeout);
        open.deadline = deadline;
        self.timers.add(deadline - ANSWER_MARGIN, Timer::AnswerDue(id));
        self.handle(Event::Upload { request: id, stage: UploadStage::Started });
    }

    /// The last byte of a forwarded body has been taken: the client's time starts now.
    pub(super) fn upload_complete(&mut self, id: RequestId) {
        let now = Instant::now();
        let uploading = self.open_requests.get_mut(&id).and_then(|open| open.upload_timeout.take());
        let Some(client_timeout) = uploading else { return };
        let deadline = self.limit_to_shutdown(now + client_timeout);
        let Some(open) = self.open_requests.get_mut(&id) else { return };
        open.sent_at.set(now);
        open.deadline = deadline;
        self.timers.add(deadline - ANSWER_MARGIN, Timer::AnswerDue(id));
        self.handle(Event::Upload { request: id, stage: UploadStage::Complete });
    }

    /// A deadline, or the shutdown's if that is earlier.
    fn limit_to_shutdown(&self, deadline: Instant) -> Instant {
        self.shutdown_deadline.map_or(deadline, |shutdown| shutdown.min(deadline))
    }

    /// Answers a request whose deadline is near, unless the deadline has been extended.
    pub(super) fn answer_due(&mut self, id: RequestId, now: Instant) {
        if self.open_requests.get(&id).is_some_and(|open| open.deadline <= now + ANSWER_MARGIN) {
            self.answer_at_deadline(id);
        }
    }

    /// Answers a request at its deadline. If it has been attempted, it may have been processed and has failed.
    fn answer_at_deadline(&mut self, id: RequestId) {
        let attempted = self.open_requests.get(&id).is_some_and(|open| open.attempts > 0);
        if let Some(answer) = self.close(id, RequestState::Abandoned) {
            let last_answer = match attempted {
                true => Answer::Failed,
                false => Answer::Rejected { retry_after: None, attempted: false },
            };
            let _ = answer.send(last_answer); // the client may have disconnected
            self.handle(Event::ClientClosed(id));
        }
    }

    /// Answers all open requests, as the process is about to end.
    pub(super) fn answer_all(&mut self) {
        let unanswered = self.open_requests.iter().filter(|(_, open)| open.answer.is_some());
        let unanswered: Vec<RequestId> = unanswered.map(|(id, _)| *id).collect();
        for id in unanswered {
            self.answer_at_deadline(id);
        }
    }

    /// The client of a request has disconnected.
    pub(super) fn client_disconnected(&mut self, id: RequestId) {
        if self.close(id, RequestState::Abandoned).is_some() {
            self.handle(Event::ClientClosed(id));
        }
    }

    /// Answers with an upstream's error response if there is one, or else that a retry is harmless.
    pub(super) fn reject(&mut self, id: RequestId, retry_after: Option<Millis>, reason: RejectionReason) {
        self.parts.metrics.request_rejected(reason);
        let attempted = self.open_requests.get(&id).is_some_and(|open| open.attempts > 0);
        let error = self.take_upstream_error(id);
        if let Some(answer) = self.close(id, RequestState::Answered) {
            self.stats.record_rejection(attempted);
            debug!(request_number = id.0, reason = reason.name(), attempted, "request rejected");
            let rejected = Answer::Rejected { retry_after, attempted };
            let _ = answer.send(error.map_or(rejected, Answer::UpstreamError)); // the client may have disconnected
        }
    }

    /// Answers with an upstream's error response if there is one, or else that the request has failed.
    pub(super) fn fail(&mut self, id: RequestId) {
        let error = self.take_upstream_error(id);
        if let Some(answer) = self.close(id, RequestState::Answered) {
            self.stats.failed += 1;
            let _ = answer.send(error.map_or(Answer::Failed, Answer::UpstreamError)); // as above
        }
    }

    fn take_upstream_error(&mut self, id: RequestId) -> Option<UpstreamResponse> {
        self.open_requests.get_mut(&id)?.upstream_error.take()
    }

    /// Takes the right to answer a request; from here on no attempt starts for it.
    pub(super) fn close(&mut self, id: RequestId, state: RequestState) -> Option<oneshot::Sender<Answer>> {
        let open = self.open_requests.get_mut(&id)?;
        open.state.set(state);
        let answer = open.answer.take();
        if answer.is_some() && open.is_late() && !(open.message.client_disconnected)() {
            self.parts.metrics.violated(Invariant::AnsweredInTime, open.message.request_id());
        }
        self.remove_if_ended(id);
        answer
    }

    /// Removes a request that has its answer and no attempt in flight.
    pub(super) fn remove_if_ended(&mut self, id: RequestId) {
        let has_ended = |open: &OpenRequest| open.answer.is_none() && open.attempts_in_flight == 0;
        if self.open_requests.get(&id).is_some_and(has_ended) {
            self.open_requests.remove(&id);
        }
    }
}
