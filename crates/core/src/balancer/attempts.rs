//! Sends attempts, evaluates how they end, and retries their requests.

use super::Balancer;
use super::answers::FINAL_RESPONSE_MARGIN;
use crate::actions::{Action, RejectionReason};
use crate::endpoints::EndpointIndex;
use crate::estimators::{HANG_FACTOR, LatencySample};
use crate::events::UploadStage;
use crate::ids::{Millis, RequestId};
use crate::outcomes::Outcome;
use crate::outlier_record::AttemptResult;
use crate::requests::{Attempt, Request};

/// Multiple of the expected latency within which most attempts get a response. An attempt that timed out sooner was
/// sent shortly before its client gave up, so its timeout is not counted as a failure of the endpoint.
const CONCLUSIVE_TIMEOUT_FACTOR: f64 = 3.0;
/// Largest mean interval between gossip messages, as a fraction of the mean latency, at which reports are recent enough
/// to show that an endpoint has no load.
const FRESH_GOSSIP_FRACTION: f64 = 0.3;
/// Fraction of the latency objective beyond which a response indicates that the shared endpoints are overloaded.
const LATE_FRACTION: f64 = 0.5;
/// Multiple of the mean latency of its class for which an abandoned attempt counts as occupying its slot.
const ABANDONED_OCCUPANCY_FACTOR: f64 = 2.0;

/// The end of an attempt.
pub(super) struct AttemptEnd {
    pub request: RequestId,
    /// Position of the attempt among the attempts of the request.
    pub attempt: usize,
    /// Time since the send.
    pub latency: Millis,
    pub outcome: Outcome,
    /// Whether the request is finished.
    pub finished: bool,
}

/// The properties of an attempt that has ended.
struct EndedAttempt {
    endpoint: EndpointIndex,
    class: usize,
    relative_cost: f64,
    at_affinity_endpoint: bool,
    unloaded: bool,
    /// The attempt occupied a slot of its endpoint when it ended.
    occupies_slot: bool,
}

impl Balancer {
    /// Sends a request to an endpoint, unless that would break an invariant.
    pub(super) fn send(
        &mut self, now: Millis, id: RequestId, endpoint: EndpointIndex, out: &mut Vec<Action>,
    ) {
        if let Some(violated) = self.violated_by_send(now, id, endpoint) {
            self.violations.record(violated);
            return self.reject_or_fail(id, RejectionReason::Violation, out);
        }
        let request = &self.requests[id];
        let class = &self.settings.classes[request.spec.class];
        let start_by = request.repeat_window(class).map(|window| window.until);
        let timeout = request.spec.is_shortened.then_some(request.spec.deadline - now);
        let takes_slot = !request.uploading;
        let unloaded = self.is_known_unloaded(endpoint);
        self.dequeue(id);
        let attempt =
            Attempt { endpoint, sent_at: now, ended: false, unloaded, unanswered: false, may_have_run: true };
        self.requests.start_attempt(id, attempt);
        let entry = &mut self.endpoints[endpoint];
        if entry.load.this_proxy == 0 {
            entry.outlier.record_first_send(now);
        }
        entry.load.this_proxy += u32::from(takes_slot);
        entry.slow_start.spend();
        out.push(Action::Send { request: id, endpoint: entry.listed.id, timeout, start_by });
        self.update_eligibility(endpoint, now);
    }

    /// Whether this proxy has nothing in flight to an endpoint and recent reports of the other proxies show no load on
    /// it.
    fn is_known_unloaded(&self, endpoint: EndpointIndex) -> bool {
        self.settings.gossip_enabled
            && self.gossip.mean_interval() < FRESH_GOSSIP_FRACTION * self.latency.mean()
            && self.endpoints[endpoint].load.total() == 0
    }

    /// Handles the end of an attempt: frees its slot, updates the estimates of its endpoint, and retries the request or
    /// gives its final response.
    pub(super) fn handle_attempt_end(&mut self, now: Millis, end: AttemptEnd, out: &mut Vec<Action>) {
        let Some(attempt) = self.end_attempt(&end) else { return };
        self.free_slot(now, &attempt, end.outcome);
        self.update_estimates(now, &attempt, &end);
        self.update_eligibility(attempt.endpoint, now);
        self.dispatch_affinity(now, attempt.endpoint, out);
        if self.requests[end.request].done {
            return self.finish(end.request);
        }
        self.retry_or_give_up(now, end.request, end.outcome, out);
    }

    /// Marks an attempt as ended and returns its properties; `None` if the attempt is unknown or has ended before.
    fn end_attempt(&mut self, end: &AttemptEnd) -> Option<EndedAttempt> {
        let request = self.requests.get_mut(end.request)?;
        let attempt = request.attempts.get_mut(end.attempt).filter(|attempt| !attempt.ended)?;
        attempt.ended = true;
        attempt.may_have_run = end.outcome.may_have_run();
        let ended = EndedAttempt {
            endpoint: attempt.endpoint,
            class: request.spec.class,
            relative_cost: request.spec.relative_cost,
            at_affinity_endpoint: request.spec.affinity_endpoint == Some(attempt.endpoint),
            unloaded: attempt.unloaded,
            occupies_slot: !attempt.unanswered && !request.uploading,
        };
        request.done |= end.finished;
        self.requests.end_attempt(end.request);
        Some(ended)
    }

    /// Frees the slot of an attempt. An endpoint may still work on an attempt that timed out or was cancelled, so that
    /// slot stays taken until the work has most likely ended.
    fn free_slot(&mut self, now: Millis, attempt: &EndedAttempt, outcome: Outcome) {
        if !attempt.occupies_slot {
            return;
        }
        if matches!(outcome, Outcome::TimedOut | Outcome::Cancelled) {
            let occupied_until = now + ABANDONED_OCCUPANCY_FACTOR * self.latency.class_mean(attempt.class);
            self.abandoned.add(attempt.endpoint, occupied_until);
        } else {
            self.endpoints[attempt.endpoint].load.this_proxy -= 1;
        }
    }

    /// Updates the estimates of how fast and how healthy the endpoint of an attempt is.
    fn update_estimates(&mut self, now: Millis, attempt: &EndedAttempt, end: &AttemptEnd) {
        if !matches!(end.outcome, Outcome::Withdrawn | Outcome::Cancelled) {
            self.outliers.record_attempt(end.outcome == Outcome::Served);
        }
        match end.outcome {
            Outcome::Served => self.record_served_attempt(now, attempt, end.latency),
            Outcome::Withdrawn | Outcome::Cancelled => {}
            _ if !attempt.occupies_slot => {} // already counted as failed, or still uploading
            Outcome::TimedOut if end.latency < self.min_conclusive_timeout(attempt) => {}
            Outcome::Rejected => self.record_result(now, attempt, AttemptResult::Rejection),
            _ => self.record_result(now, attempt, AttemptResult::Failure),
        }
        if end.outcome == Outcome::Rejected {
            self.update_concurrency_limit(false);
        }
    }

    fn record_served_attempt(&mut self, now: Millis, attempt: &EndedAttempt, latency: Millis) {
        let objective = self.settings.classes[attempt.class].latency_objective;
        self.update_concurrency_limit(latency < LATE_FRACTION * objective);
        let sample = LatencySample {
            class: attempt.class,
            latency: latency / attempt.relative_cost,
            at_affinity_endpoint: attempt.at_affinity_endpoint,
            unloaded: attempt.unloaded,
        };
        let entry = &mut self.endpoints[attempt.endpoint];
        let crosses_zones = entry.crosses_zones_from(self.settings.zone);
        self.latency.record(entry, &sample, crosses_zones);
        self.record_result(now, attempt, AttemptResult::Success);
    }

    /// How long an attempt has to be in flight for its timeout to count as a failure of its endpoint.
    fn min_conclusive_timeout(&self, attempt: &EndedAttempt) -> Millis {
        let entry = &self.endpoints[attempt.endpoint];
        CONCLUSIVE_TIMEOUT_FACTOR
            * self.latency.class_mean(attempt.class)
            * attempt.relative_cost
            * entry.relative_latency.value
            / entry.slow_start_factor
    }

    fn record_result(&mut self, now: Millis, attempt: &EndedAttempt, result: AttemptResult) {
        self.record_endpoint_result(now, attempt.endpoint, attempt.class, result);
    }

    fn record_endpoint_result(
        &mut self, now: Millis, endpoint: EndpointIndex, class: usize, result: AttemptResult,
    ) {
        let jitter = 0.75 + 0.5 * self.rng.f64();
        let limits = self.outliers.limits(class);
        self.endpoints[endpoint].outlier.record(result, class, limits, now, jitter);
    }

    fn update_concurrency_limit(&mut self, in_time: bool) {
        let in_flight = self.requests.running().len();
        self.concurrency.record_response(in_time, in_flight, self.endpoints.len());
    }

    /// Retries a request whose attempt has failed, if its deadline, its idempotency and the retry budget allow it, or
    /// else gives its final response.
    fn retry_or_give_up(&mut self, now: Millis, id: RequestId, outcome: Outcome, out: &mut Vec<Action>) {
        let request = &self.requests[id];
        let class = &self.settings.classes[request.spec.class];
        let has_time = now + self.expected_latency(request) < request.spec.deadline - FINAL_RESPONSE_MARGIN;
        // An attempt that was withdrawn before anything was sent put no load on an endpoint, so its retry is free.
        let retry_cost = if outcome == Outcome::Withdrawn { 0.0 } else { 1.0 };
        if has_time && request.may_retry(class, now) && self.retry_budget.covers(retry_cost) {
            self.retry_budget.spend(retry_cost);
            self.enqueue(id, true);
        } else {
            self.reject_or_fail(id, RejectionReason::AttemptsExhausted, out);
        }
    }

    /// Checks whether a running request has been unanswered, or its upload stalled, for too long, and sets its timer if
    /// a response will soon stop being useful.
    pub(super) fn check_running(&mut self, now: Millis, id: RequestId, out: &mut Vec<Action>) {
        if !self.requests.get(id).is_some_and(Request::awaits_endpoint) {
            return;
        }
        self.detect_unanswered(now, id);
        self.set_expiry_timer(now, id, out);
    }

    /// Counts an attempt that is unanswered for too long as failed, and ejects the endpoint if it hangs.
    fn detect_unanswered(&mut self, now: Millis, id: RequestId) {
        let Some(request) = self.requests.get(id) else { return };
        let expected = self.expected_latency(request);
        let Some(position) = self.unanswered_attempt(request, expected, now) else { return };
        let endpoint = request.attempts[position].endpoint;
        let class = request.spec.class;
        let timeout = self.hang_timeout(endpoint, expected, now);
        let hangs = self.endpoints[endpoint].outlier.is_hanging(now, timeout);
        self.record_endpoint_result(now, endpoint, class, AttemptResult::Failure);
        let entry = &mut self.endpoints[endpoint];
        entry.outlier.record_unanswered();
        if hangs {
            entry.outlier.eject_hanging(now, HANG_FACTOR * expected);
        }
        let request = self.requests.get_mut(id).expect("the request is open");
        entry.load.this_proxy -= u32::from(!request.uploading); // frees the slot for requests of other classes
        request.attempts[position].unanswered = true;
        self.update_eligibility(endpoint, now);
    }

    /// The position of the first attempt of a request that has been in flight for longer than its hang timeout.
    fn unanswered_attempt(&self, request: &Request, expected: Millis, now: Millis) -> Option<usize> {
        request.attempts.iter().position(|attempt| {
            attempt.is_in_flight()
                && now - attempt.sent_at > self.hang_timeout(attempt.endpoint, expected, now)
        })
    }

    /// How long an attempt with that expected latency may stay unanswered at an endpoint.
    fn hang_timeout(&self, endpoint: EndpointIndex, expected: Millis, now: Millis) -> Millis {
        let entry = &self.endpoints[endpoint];
        HANG_FACTOR * expected * entry.relative_latency.value.max(1.0) / self.slow_start_factor(endpoint, now)
    }

    /// Handles the progress of a request body that is forwarded while it is still received. An endpoint starts its work
    /// with the last byte of the body, so the attempt occupies no slot before that.
    pub(super) fn handle_upload(&mut self, now: Millis, id: RequestId, stage: UploadStage) {
        let Some(request) = self.requests.get_mut(id) else { return };
        match stage {
            UploadStage::NotReplayable => request.not_replayable = true,
            UploadStage::Started if !request.uploading => request.start_upload(now),
            UploadStage::Stalled if request.uploading => request.upload_stalled = true,
            UploadStage::Resumed if request.uploading => request.upload_stalled = false,
            UploadStage::Complete if request.uploading => request.complete_upload(now),
            UploadStage::Started | UploadStage::Stalled | UploadStage::Resumed | UploadStage::Complete => {
                return;
            }
        }
        let mut in_flight = Vec::new();
        for attempt in request.attempts.iter_mut().filter(|attempt| attempt.is_in_flight()) {
            attempt.sent_at = now;
            in_flight.push(attempt.endpoint);
        }
        for endpoint in in_flight {
            let own = &mut self.endpoints[endpoint].load.this_proxy;
            match stage {
                UploadStage::Started => *own -= 1,
                UploadStage::Complete => *own += 1,
                UploadStage::NotReplayable | UploadStage::Stalled | UploadStage::Resumed => {}
            }
            self.update_eligibility(endpoint, now);
        }
    }
}
