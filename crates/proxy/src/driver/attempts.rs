//! Attempts: their start at an upstream, and what their end means for the request.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use leadrelay_core::{EndpointId, Event, Millis, Outcome, RequestId, UploadStage};
use tokio::time::Instant;
use tracing::{debug, error};

use super::Driver;
use super::attempt_report::AttemptReport;
use super::open_requests::OpenRequest;
use crate::inbox::{Answer, AttemptEnd};
use crate::upstream::{AttemptLimits, RequestState, UpstreamEndpoint, UpstreamPool};

/// Longest time-out of an attempt: it must be possible to add it to any instant.
const MAX_TIMEOUT: Millis = 1e9;

impl Driver {
    /// Starts an attempt, unless its request is closed or its endpoint takes no new requests.
    pub(super) fn start_attempt(
        &mut self, request: RequestId, endpoint: EndpointId, timeout: Option<Millis>,
        start_by: Option<Millis>,
    ) {
        let Some(open) = self.open_requests.get_mut(&request) else {
            error!(request_number = request.0, "attempt for an unknown request");
            return;
        };
        let now = Instant::now();
        open.sent_at = Rc::new(Cell::new(now));
        let mut report = AttemptReport {
            inbox: self.parts.inbox.clone(),
            request,
            attempt: open.attempts,
            endpoint,
            message: open.message.clone(),
            sent_at: open.sent_at.clone(),
            reported: false,
        };
        open.attempts += 1;
        open.attempts_in_flight += 1;
        self.stats.attempts += 1;
        if let Some(previous_outcome) = open.last_outcome {
            self.parts.metrics.attempt_retried(previous_outcome);
        }
        record_start(open, report.attempt, endpoint, self.endpoints.name(endpoint), timeout);
        let upstream = self.endpoints.upstream(endpoint).filter(|upstream| upstream.is_open());
        let Some(upstream) = upstream.filter(|_| open.state.get() == RequestState::Pending) else {
            return report.send(Outcome::Withdrawn, None);
        };
        let limits = AttemptLimits {
            deadline: attempt_deadline(open, timeout, now),
            start_by: start_by.map(|at| self.clock.instant(at)),
        };
        spawn_attempt(self.parts.upstreams.clone(), upstream.clone(), open, limits, report);
    }

    /// An attempt has ended; a served one answers its request.
    pub(super) fn attempt_ended(&mut self, end: AttemptEnd) {
        let AttemptEnd { request, attempt, latency, outcome, reply } = end;
        let Some(open) = self.open_requests.get_mut(&request) else { return };
        open.attempts_in_flight -= 1;
        let not_replayable = !open.message.is_replayable();
        open.last_outcome = Some(outcome);
        debug!(
            request = open.message.request_id(),
            attempt,
            outcome = outcome.name(),
            latency_ms = latency.round(),
            "attempt ended"
        );
        self.stats.record_outcome(outcome);
        self.parts.metrics.attempt_ended(outcome, latency);
        let was_answered = open.answer.is_none();
        match (outcome, reply) {
            (Outcome::Served, Some(reply)) => {
                if let Some(answer) = self.close(request, RequestState::Answered) {
                    let _ = answer.send(Answer::Served(reply)); // the client may have disconnected
                }
            }
            (_, Some(error)) => open.upstream_error = Some(error),
            (_, None) => {}
        }
        let finished = was_answered || outcome == Outcome::Served;
        self.remove_if_ended(request);
        if not_replayable {
            self.handle(Event::Upload { request, stage: UploadStage::NotReplayable });
        }
        self.handle(Event::Ended { request, attempt, latency, outcome, finished });
    }
}

/// Records the start of an attempt in the log and for the access event.
fn record_start(
    open: &OpenRequest, attempt: u32, endpoint: EndpointId, endpoint_name: Option<&str>,
    timeout: Option<Millis>,
) {
    debug!(
        request = open.message.request_id(),
        attempt,
        backend = endpoint_name,
        previous_outcome = open.last_outcome.map(Outcome::name),
        timeout_ms = timeout.map(f64::round),
        "attempt started"
    );
    if let Some(access_record) = &open.access_record {
        access_record.record_attempt(endpoint, endpoint_name);
    }
}

/// Runs an attempt in a task of its own.
fn spawn_attempt(
    upstreams: Rc<UpstreamPool>, upstream: Rc<UpstreamEndpoint>, open: &OpenRequest, limits: AttemptLimits,
    mut report: AttemptReport,
) {
    let state = open.state.clone();
    let message = open.message.clone();
    tokio::task::spawn_local(async move {
        let report = |outcome, reply| report.send(outcome, reply);
        upstreams.attempt(upstream, state, message, limits, report).await;
    });
}

/// When an attempt must have ended: by its own time-out or its request's deadline.
fn attempt_deadline(open: &OpenRequest, timeout: Option<Millis>, now: Instant) -> Instant {
    match timeout {
        Some(timeout) => open.deadline.min(now + bounded_duration(timeout)),
        None => open.deadline,
    }
}

fn bounded_duration(timeout: Millis) -> Duration {
    Duration::from_secs_f64(timeout.clamp(0.0, MAX_TIMEOUT) / 1000.0)
}
