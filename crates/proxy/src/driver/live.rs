//! Open requests: those that lack their answer or have attempts out.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use leadrelay_core::{
    EndpointId, Event, Invariant, Millis, Outcome, RejectionReason, RequestId, UploadStage,
};
use tokio::sync::oneshot;
use tokio::time::Instant;
use tracing::{debug, error};

use super::report::Report;
use super::{Driver, Timer};
use crate::access_record::AccessRecord;
use crate::classes::Hold;
use crate::inbox::{Answer, Arrival};
use crate::open_ids::OpenId;
use crate::upstream::{AttemptLimits, RequestState, UpstreamRequest, UpstreamResponse};

/// The answer has to be on its way this long before the client gives up, whatever happens.
const LAST_RESORT: Duration = Duration::from_millis(4);

/// Longest span for which a body may be received while it is sent.
const MAX_UPLOAD_TIME: Duration = Duration::from_secs(600);
/// A final answer that is later than this is lost.
const LATE_ANSWER: Duration = Duration::from_millis(500);

/// A request that lacks its answer or has attempts out.
pub struct LiveRequest {
    /// Where its answer goes; `None` once it has been taken.
    answer: Option<oneshot::Sender<Answer>>,
    /// Whether an attempt may still begin for it, or go on.
    state: Rc<Cell<RequestState>>,
    message: Rc<UpstreamRequest>,
    /// When its client gives up.
    deadline: Instant,
    /// How long its client waits after the last byte, where that is still to come.
    upload: Option<Duration>,
    /// When the last attempt had gone out whole, as far as is known.
    sent: Rc<Cell<Instant>>,
    /// How many attempts have been made.
    attempts: u32,
    /// How many of them have not ended.
    attempts_out: u32,
    /// Keeps the rules of its class.
    _hold: Hold,
    /// Keeps its id from other requests.
    _open: Option<OpenId>,
    access_record: Option<Rc<AccessRecord>>,
    /// The last error that a backend sent, where clients may see it.
    backend_error: Option<UpstreamResponse>,
    /// How the last attempt ended.
    last_outcome: Option<Outcome>,
}

impl Driver {
    /// Takes in a request that has just come.
    pub(super) fn accept(&mut self, arrival: Arrival) {
        let Arrival {
            id,
            class,
            hold,
            tenant,
            key,
            hint,
            deadline,
            upload,
            message,
            answer,
            access_record,
            open,
        } = arrival;
        let deadline = self.answer_by(deadline);
        let last = deadline - LAST_RESORT;
        let now = Instant::now();
        let budget = last.saturating_duration_since(now).as_secs_f64() * 1000.0;
        debug!(
            number = id.0,
            request = message.request_id(),
            class = class.0,
            budget_ms = budget.round(),
            streamed = upload.is_some(),
            "a request is accepted"
        );
        self.live.insert(
            id,
            LiveRequest {
                answer: Some(answer),
                state: Rc::new(Cell::new(RequestState::Pending)),
                message: Rc::new(message),
                deadline,
                upload,
                sent: Rc::new(Cell::new(now)),
                attempts: 0,
                attempts_out: 0,
                _hold: hold,
                _open: open,
                access_record,
                backend_error: None,
                last_outcome: None,
            },
        );
        self.tally.requests += 1;
        self.add_timer(last, Timer::LastResort(id));
        self.handle(Event::Request { id, class, tenant, key, timeout: budget, expected_cost: hint });
    }

    /// An attempt takes a streamed body. From here on it is read, and its client's time stands still up to its last
    /// byte; before that the client may have sent all of it, so the time that it has waited is gone.
    pub(super) fn body_begun(&mut self, id: RequestId, patience: Duration) {
        let deadline = self.answer_by(Instant::now() + MAX_UPLOAD_TIME);
        let Some(live) = self.live.get_mut(&id).filter(|live| live.upload.is_some()) else { return };
        live.upload = Some(patience);
        live.deadline = deadline;
        self.add_timer(deadline - LAST_RESORT, Timer::LastResort(id));
        self.handle(Event::Upload { request: id, stage: UploadStage::Started });
    }

    /// The last byte of a streamed body has been taken: the time of its request begins now.
    pub(super) fn body_complete(&mut self, id: RequestId) {
        let now = Instant::now();
        let Some(patience) = self.live.get_mut(&id).and_then(|live| live.upload.take()) else { return };
        let deadline = self.answer_by(now + patience);
        let Some(live) = self.live.get_mut(&id) else { return };
        live.sent.set(now);
        live.deadline = deadline;
        self.add_timer(deadline - LAST_RESORT, Timer::LastResort(id));
        self.handle(Event::Upload { request: id, stage: UploadStage::Complete });
    }

    /// When a request has to be answered whose client waits so long.
    fn answer_by(&self, deadline: Instant) -> Instant {
        self.shutdown_deadline.map_or(deadline, |end| end.min(deadline))
    }

    /// Answers a request whose time is over, unless it has been given more.
    pub(super) fn last_resort_due(&mut self, id: RequestId, now: Instant) {
        if self.live.get(&id).is_some_and(|live| live.deadline <= now + LAST_RESORT) {
            self.answer_as_last_resort(id);
        }
    }

    /// Answers a request that nobody else has answered in time. If it has been sent, it may have run and has failed.
    pub(super) fn answer_as_last_resort(&mut self, id: RequestId) {
        let sent = self.live.get(&id).is_some_and(|live| live.attempts > 0);
        if let Some(answer) = self.close(id, RequestState::Abandoned) {
            let last = if sent { Answer::Failed } else { Answer::Refused { after: None, tried: false } };
            let _ = answer.send(last); // a client that has left needs none
            self.handle(Event::ClientClosed(id));
        }
    }

    /// Answers all open requests, as the process can't wait for them.
    pub(super) fn answer_all(&mut self) {
        let open = self.live.iter().filter(|(_, live)| live.answer.is_some());
        let open: Vec<RequestId> = open.map(|(id, _)| *id).collect();
        open.into_iter().for_each(|id| self.answer_as_last_resort(id));
    }

    /// Starts an attempt, unless its request is closed or its backend takes nothing more.
    pub(super) fn send(
        &mut self, request: RequestId, backend: EndpointId, timeout: Option<Millis>, begin_by: Option<Millis>,
    ) {
        let Some(live) = self.live.get_mut(&request) else {
            error!(request = request.0, "a send for a request that is not held");
            return;
        };
        let now = Instant::now();
        live.sent = Rc::new(Cell::new(now));
        let mut report = Report {
            inbox: self.parts.inbox.clone(),
            request,
            attempt: live.attempts,
            backend,
            message: live.message.clone(),
            sent: live.sent.clone(),
            reported: false,
        };
        live.attempts += 1;
        if let Some(last) = live.last_outcome {
            self.parts.metrics.retried(last);
        }
        debug!(
            request = live.message.request_id(),
            attempt = report.attempt,
            backend = self.backends.name(backend),
            after = live.last_outcome.map(Outcome::name),
            "an attempt begins"
        );
        if let Some(access_record) = &live.access_record {
            access_record.record_attempt(backend, self.backends.name(backend));
        }
        live.attempts_out += 1;
        self.tally.sends += 1;
        let endpoint = self.backends.endpoint(backend).filter(|endpoint| endpoint.is_open());
        let Some(endpoint) = endpoint.filter(|_| live.state.get() == RequestState::Pending) else {
            return report.send(Outcome::Withdrawn, None);
        };
        let deadline = timeout.map_or(live.deadline, |timeout| live.deadline.min(now + duration(timeout)));
        let limits = AttemptLimits { deadline, start_by: begin_by.map(|at| self.clock.instant(at)) };
        let (upstreams, endpoint) = (self.parts.upstreams.clone(), endpoint.clone());
        let (state, message) = (live.state.clone(), live.message.clone());
        tokio::task::spawn_local(async move {
            let report = |outcome, reply| report.send(outcome, reply);
            upstreams.attempt(endpoint, state, message, limits, report).await;
        });
    }

    /// An attempt has ended; a served one answers its request.
    pub(super) fn attempt_ended(
        &mut self, request: RequestId, attempt: u32, latency: Millis, outcome: Outcome,
        reply: Option<UpstreamResponse>,
    ) {
        let Some(live) = self.live.get_mut(&request) else { return };
        live.attempts_out -= 1;
        let spent = !live.message.is_replayable();
        live.last_outcome = Some(outcome);
        debug!(
            request = live.message.request_id(),
            attempt,
            outcome = outcome.name(),
            latency_ms = latency.round(),
            "an attempt has ended"
        );
        self.tally.outcomes[outcome as usize] += 1;
        self.parts.metrics.attempt(outcome, latency);
        let was_open = live.answer.is_some();
        match (outcome, reply) {
            (Outcome::Served, Some(reply)) => {
                if let Some(answer) = self.close(request, RequestState::Answered) {
                    let _ = answer.send(Answer::Served(reply)); // else the client has just left
                }
            }
            (_, reply) => live.backend_error = reply.or(live.backend_error.take()),
        }
        let closed = !was_open || outcome == Outcome::Served;
        self.forget(request);
        if spent {
            self.handle(Event::Upload { request, stage: UploadStage::NotReplayable });
        }
        self.handle(Event::Ended { request, attempt, latency, outcome, finished: closed });
    }

    /// The client has left.
    pub(super) fn abandon(&mut self, id: RequestId) {
        if self.close(id, RequestState::Abandoned).is_some() {
            self.handle(Event::ClientClosed(id));
        }
    }

    /// Answers with the error that a backend sent, if there is one, or else that trying again is harmless.
    pub(super) fn refuse(&mut self, id: RequestId, retry_after: Option<Millis>, reason: RejectionReason) {
        self.parts.metrics.refused(reason);
        let tried = self.live.get(&id).is_some_and(|live| live.attempts > 0);
        let error = self.backend_error(id);
        if let Some(answer) = self.close(id, RequestState::Answered) {
            self.tally.refused[usize::from(tried)] += 1;
            debug!(number = id.0, reason = reason.name(), tried, "a request is refused");
            let refused = Answer::Refused { after: retry_after, tried };
            let _ = answer.send(error.map_or(refused, Answer::Passed)); // a client that has left needs none
        }
    }

    /// Answers with the error that a backend sent, if there is one, or else that the request has failed.
    pub(super) fn fail(&mut self, id: RequestId) {
        let error = self.backend_error(id);
        if let Some(answer) = self.close(id, RequestState::Answered) {
            self.tally.failed += 1;
            let _ = answer.send(error.map_or(Answer::Failed, Answer::Passed)); // a client that has left needs none
        }
    }

    /// The error that a backend sent, if clients may see it.
    fn backend_error(&mut self, id: RequestId) -> Option<UpstreamResponse> {
        self.live.get_mut(&id)?.backend_error.take()
    }

    /// Takes the right to answer a request; from here on nothing more begins for it.
    fn close(&mut self, id: RequestId, to: RequestState) -> Option<oneshot::Sender<Answer>> {
        let live = self.live.get_mut(&id)?;
        live.state.set(to);
        let answer = live.answer.take();
        let answers_late = answer.is_some() && live.upload.is_none() && live.deadline.elapsed() > LATE_ANSWER;
        if answers_late && !(live.message.client_disconnected)() {
            self.parts.metrics.violated(Invariant::AnsweredInTime, live.message.request_id());
        }
        self.forget(id);
        answer
    }

    /// Drops a request that has its answer and no attempt out.
    fn forget(&mut self, id: RequestId) {
        if self.live.get(&id).is_some_and(|l| l.answer.is_none() && l.attempts_out == 0) {
            self.live.remove(&id);
        }
    }
}

/// The balancer's time-out as a duration that can be added to any instant.
fn duration(timeout: Millis) -> Duration {
    Duration::from_secs_f64(timeout.clamp(0.0, 1e9) / 1000.0)
}
