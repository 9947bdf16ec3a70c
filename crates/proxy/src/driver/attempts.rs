//! Starts attempts at upstreams, and updates the request when an attempt ends.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use leadrelay_core::{EndpointId, Event, Millis, Outcome, RequestId, UploadStage};
use tokio::time::Instant;
use tracing::{debug, error};

use super::Driver;
use super::attempt_report::AttemptReport;
use super::open_requests::OpenRequest;
use crate::inbox::{AttemptEnd, FinalResponse};
use crate::upstream::{AttemptLimits, RequestState, UpstreamEndpoint, UpstreamPool};

/// Maximum timeout of an attempt, in milliseconds, so that adding it to an instant can't overflow.
const MAX_TIMEOUT: Millis = 1e9;

impl Driver {
    /// Starts an attempt. If its request is closed or its endpoint takes no new requests, reports the attempt as
    /// withdrawn instead.
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
            request_deadline: open.deadline,
            start_by: start_by.map(|at| self.clock.to_instant(at)),
        };
        spawn_attempt(self.parts.upstreams.clone(), upstream.clone(), open, limits, report);
    }

    /// Handles the end of an attempt. If the attempt was served, its response is the final response to the request,
    /// unless the request is already closed.
    pub(super) fn attempt_ended(&mut self, end: AttemptEnd) {
        let AttemptEnd { request, attempt, latency, outcome, response } = end;
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
        let had_response = open.response_sender.is_none();
        match (outcome, response) {
            (Outcome::Served, Some(response)) => {
                if let Some(response_sender) = self.close(request, RequestState::Answered) {
                    let _ = response_sender.send(FinalResponse::Served(response)); // the client may have disconnected
                }
            }
            (_, Some(error_response)) => open.upstream_error = Some(error_response),
            (_, None) => {}
        }
        let finished = had_response || outcome == Outcome::Served;
        self.remove_if_ended(request);
        if not_replayable {
            self.handle(Event::Upload { request, stage: UploadStage::NotReplayable });
        }
        self.handle(Event::Ended { request, attempt, latency, outcome, finished });
    }
}

/// Logs the start of an attempt and adds it to the request's access record.
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

/// Spawns a task that runs an attempt and reports its end.
fn spawn_attempt(
    upstreams: Rc<UpstreamPool>, upstream: Rc<UpstreamEndpoint>, open: &OpenRequest, limits: AttemptLimits,
    mut report: AttemptReport,
) {
    let state = open.state.clone();
    let message = open.message.clone();
    tokio::task::spawn_local(async move {
        let report = |outcome, response| report.send(outcome, response);
        upstreams.attempt(upstream, state, message, limits, report).await;
    });
}

/// The instant by which an attempt must have ended: the earlier of its own timeout and its request's deadline.
fn attempt_deadline(open: &OpenRequest, timeout: Option<Millis>, now: Instant) -> Instant {
    match timeout {
        Some(timeout) => open.deadline.min(now + bounded_duration(timeout)),
        None => open.deadline,
    }
}

fn bounded_duration(timeout: Millis) -> Duration {
    Duration::from_secs_f64(timeout.clamp(0.0, MAX_TIMEOUT) / 1000.0)
}
