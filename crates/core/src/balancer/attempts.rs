//! Attempts: sending one, how it ends, and when a request is retried.

use super::Balancer;
use super::answers::ANSWER_MARGIN;
use crate::actions::{Action, RejectionReason};
use crate::endpoints::EndpointIndex;
use crate::estimators::{HANG_FACTOR, LatencySample};
use crate::events::UploadStage;
use crate::ids::{Millis, RequestId};
use crate::outcomes::Outcome;
use crate::outlier_record::AttemptResult;
use crate::requests::{Attempt, Request};

/// Expected latencies within which most attempts get a response. One that timed out sooner had no fair chance, as it
/// was sent shortly before its client gave up.
const FAIR_CHANCE_FACTOR: f64 = 3.0;
/// The part of the mean latency within which reports of other proxies must come to show that an endpoint has no load.
const FRESH_GOSSIP_FRACTION: f64 = 0.3;
/// The part of the latency objective past which a response says that shared endpoints are overloaded.
const LATE_FRACTION: f64 = 0.5;
/// Mean latencies of its class for which an abandoned attempt is taken to occupy its slot.
const ABANDONED_FACTOR: f64 = 2.0;

/// The end of an attempt.
pub(super) struct AttemptEnd {
    pub request: RequestId,
    /// Its position among the attempts of the request.
    pub attempt: usize,
    /// Time since the send.
    pub latency: Millis,
    pub outcome: Outcome,
    /// Whether the request is finished.
    pub finished: bool,
}

/// What was known of an attempt until it ended.
struct EndedAttempt {
    endpoint: EndpointIndex,
    class: usize,
    relative_cost: f64,
    at_affinity_endpoint: bool,
    unloaded: bool,
    /// It took a slot of its endpoint.
    in_slot: bool,
}

impl Balancer {
    /// Sends a request to an endpoint, unless that would break an invariant.
    pub(super) fn send(
        &mut self, now: Millis, id: RequestId, endpoint: EndpointIndex, out: &mut Vec<Action>,
    ) {
        if let Some(violated) = self.violated_by_send(now, id, endpoint) {
            self.violations.record(violated);
            return self.answer(id, RejectionReason::Violation, out);
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
        if entry.load.own == 0 {
            entry.outlier.record_first_send(now);
        }
        entry.load.own += u32::from(takes_slot);
        entry.slow_start.spend();
        out.push(Action::Send { request: id, endpoint: entry.listed.id, timeout, start_by });
        self.update_eligibility(endpoint, now);
    }

    /// Whether an endpoint has no load as far as fresh reports of the other proxies say.
    fn is_known_unloaded(&self, endpoint: EndpointIndex) -> bool {
        self.settings.gossip_enabled
            && self.gossip.mean_interval() < FRESH_GOSSIP_FRACTION * self.latency.mean()
            && self.endpoints[endpoint].load.total() == 0
    }

    /// Takes in the end of an attempt: what it says of its endpoint, and whether its request is retried.
    pub(super) fn handle_attempt_end(&mut self, now: Millis, end: AttemptEnd, out: &mut Vec<Action>) {
        let Some(attempt) = self.end_attempt(&end) else { return };
        self.free_slot(now, &attempt, end.outcome);
        self.learn_from(now, &attempt, &end);
        self.update_eligibility(attempt.endpoint, now);
        self.dispatch_affinity(now, attempt.endpoint, out);
        if self.requests[end.request].done {
            return self.finish(end.request);
        }
        self.retry_or_answer(now, end.request, end.outcome, out);
    }

    /// Marks an attempt as ended; `None` if it is unknown or has ended before.
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
            in_slot: !attempt.unanswered && !request.uploading,
        };
        request.done |= end.finished;
        self.requests.end_attempt(end.request);
        Some(ended)
    }

    /// Frees the slot of an attempt. One that was given up may still occupy its endpoint: its slot stays taken until it
    /// has plausibly ended.
    fn free_slot(&mut self, now: Millis, attempt: &EndedAttempt, outcome: Outcome) {
        if !attempt.in_slot {
            return;
        }
        if matches!(outcome, Outcome::TimedOut | Outcome::Cancelled) {
            let occupied_until = now + ABANDONED_FACTOR * self.latency.of_class(attempt.class);
            self.abandoned.add(attempt.endpoint, occupied_until);
        } else {
            self.endpoints[attempt.endpoint].load.own -= 1;
        }
    }

    /// Learns from the end of an attempt how fast and how healthy its endpoint is.
    fn learn_from(&mut self, now: Millis, attempt: &EndedAttempt, end: &AttemptEnd) {
        if !matches!(end.outcome, Outcome::Withdrawn | Outcome::Cancelled) {
            self.outliers.record_attempt(end.outcome == Outcome::Served);
        }
        match end.outcome {
            Outcome::Served => self.learn_from_response(now, attempt, end.latency),
            Outcome::Withdrawn | Outcome::Cancelled => {}
            _ if !attempt.in_slot => {} // has counted as a failure before
            Outcome::TimedOut if end.latency < self.fair_chance(attempt) => {}
            Outcome::Rejected => self.judge(now, attempt, AttemptResult::Rejection),
            _ => self.judge(now, attempt, AttemptResult::Failure),
        }
        if end.outcome == Outcome::Rejected {
            self.record_concurrency(false);
        }
    }

    fn learn_from_response(&mut self, now: Millis, attempt: &EndedAttempt, latency: Millis) {
        let objective = self.settings.classes[attempt.class].latency_objective;
        self.record_concurrency(latency < LATE_FRACTION * objective);
        let sample = LatencySample {
            class: attempt.class,
            latency: latency / attempt.relative_cost,
            at_affinity_endpoint: attempt.at_affinity_endpoint,
            unloaded: attempt.unloaded,
        };
        let entry = &mut self.endpoints[attempt.endpoint];
        let crosses_zones = entry.crosses_zones_from(self.settings.zone);
        self.latency.record(entry, &sample, crosses_zones);
        self.judge(now, attempt, AttemptResult::Success);
    }

    /// How long an attempt has to be in flight for its timeout to say something of its endpoint.
    fn fair_chance(&self, attempt: &EndedAttempt) -> Millis {
        let entry = &self.endpoints[attempt.endpoint];
        FAIR_CHANCE_FACTOR
            * self.latency.of_class(attempt.class)
            * attempt.relative_cost
            * entry.relative_latency.value
            / entry.slow_start_factor
    }

    fn judge(&mut self, now: Millis, attempt: &EndedAttempt, result: AttemptResult) {
        self.judge_endpoint(now, attempt.endpoint, attempt.class, result);
    }

    fn judge_endpoint(&mut self, now: Millis, endpoint: EndpointIndex, class: usize, result: AttemptResult) {
        let jitter = 0.75 + 0.5 * self.rng.f64();
        let limits = self.outliers.limits(class);
        self.endpoints[endpoint].outlier.record(result, class, limits, now, jitter);
    }

    fn record_concurrency(&mut self, in_time: bool) {
        let in_flight = self.requests.running().len();
        self.concurrency.record_response(in_time, in_flight, self.endpoints.len());
    }

    /// Retries a request whose attempt has failed, if time, idempotency and the retry budget allow, or else gives its
    /// final answer.
    fn retry_or_answer(&mut self, now: Millis, id: RequestId, outcome: Outcome, out: &mut Vec<Action>) {
        let request = &self.requests[id];
        let class = &self.settings.classes[request.spec.class];
        let has_time = now + self.expected_latency(request) < request.spec.deadline - ANSWER_MARGIN;
        // One that was withdrawn before anything was sent has cost no endpoint anything.
        let price = if outcome == Outcome::Withdrawn { 0.0 } else { 1.0 };
        if has_time && request.may_retry(class, now) && self.retry_budget.covers(price) {
            self.retry_budget.spend(price);
            self.enqueue(id, true);
        } else {
            self.answer(id, RejectionReason::AttemptsExhausted, out);
        }
    }

    /// Looks after a running request: whether its endpoint hangs, and whether it is still of use.
    pub(super) fn watch_running(&mut self, now: Millis, id: RequestId, out: &mut Vec<Action>) {
        if self.requests.get(id).is_none_or(|request| request.uploading) {
            return;
        }
        self.detect_unanswered(now, id);
        self.set_expiry_timer(now, id, out);
    }

    /// Counts an attempt as failed that is unanswered for too long, and ejects its endpoint if it hangs.
    fn detect_unanswered(&mut self, now: Millis, id: RequestId) {
        let Some(request) = self.requests.get(id) else { return };
        let expected = self.expected_latency(request);
        let Some(position) = self.unanswered_attempt(request, expected, now) else { return };
        let endpoint = request.attempts[position].endpoint;
        let class = request.spec.class;
        let timeout = self.hang_timeout(endpoint, expected, now);
        let hangs = self.endpoints[endpoint].outlier.is_hanging(now, timeout);
        self.judge_endpoint(now, endpoint, class, AttemptResult::Failure);
        let entry = &mut self.endpoints[endpoint];
        entry.outlier.record_unanswered();
        if hangs {
            entry.outlier.eject_hanging(now, HANG_FACTOR * expected);
        }
        entry.load.own -= 1; // the slot is free for other classes
        let request = self.requests.get_mut(id).expect("the request is open");
        request.attempts[position].unanswered = true;
        self.update_eligibility(endpoint, now);
    }

    /// The position of an attempt that has been in flight for too long.
    fn unanswered_attempt(&self, request: &Request, expected: Millis, now: Millis) -> Option<usize> {
        request.attempts.iter().position(|attempt| {
            attempt.is_in_flight()
                && now - attempt.sent_at > self.hang_timeout(attempt.endpoint, expected, now)
        })
    }

    /// How long an attempt of that expected latency may be unanswered.
    fn hang_timeout(&self, endpoint: EndpointIndex, expected: Millis, now: Millis) -> Millis {
        let entry = &self.endpoints[endpoint];
        HANG_FACTOR * expected * entry.relative_latency.value.max(1.0) / self.slow_start_factor(endpoint, now)
    }

    /// Follows the body of a request that is forwarded while it is still received. Until its last byte an endpoint has
    /// no work with it, and none of its slots is taken.
    pub(super) fn handle_upload(&mut self, now: Millis, id: RequestId, stage: UploadStage) {
        let Some(request) = self.requests.get_mut(id) else { return };
        match stage {
            UploadStage::NotReplayable => request.not_replayable = true,
            UploadStage::Started if !request.uploading => request.start_upload(now),
            UploadStage::Complete if request.uploading => request.complete_upload(now),
            UploadStage::Started | UploadStage::Complete => return,
        }
        let mut in_flight = Vec::new();
        for attempt in request.attempts.iter_mut().filter(|attempt| attempt.is_in_flight()) {
            attempt.sent_at = now;
            in_flight.push(attempt.endpoint);
        }
        for endpoint in in_flight {
            let own = &mut self.endpoints[endpoint].load.own;
            match stage {
                UploadStage::Started => *own -= 1,
                UploadStage::Complete => *own += 1,
                UploadStage::NotReplayable => {}
            }
            self.update_eligibility(endpoint, now);
        }
    }
}
