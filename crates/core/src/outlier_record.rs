//! Failures, timeouts and ejections of one endpoint.

use crate::ids::Millis;

/// The weight of a failure in the running failure rate. With this weight two failures in a row lead to an ejection.
const FAILURE_GAIN: f64 = 0.3;
/// Duration of the first ejection, before jitter. It doubles with each ejection that follows before the endpoint has
/// passed its probation.
const BASE_EJECTION_TIME: Millis = 250.0;
/// Upper bound to which the duration of an ejection doubles, before jitter and the factor for single request classes.
/// An endpoint that was ejected for all classes and has recovered is used again after about this time at the latest.
pub(crate) const MAX_EJECTION_TIME: Millis = 4000.0;
/// The factor by which an ejection for a single request class lasts longer, as each trial after it may fail a request.
const CLASS_EJECTION_FACTOR: f64 = 4.0;

/// The health of an endpoint, as a whole or for one request class.
#[derive(Clone)]
struct OutlierState {
    /// Running mean of failures, from 0 to 1.
    failure_rate: f64,
    ejected_until: Millis,
    /// Duration of the next ejection; 0 before the first.
    ejection_time: Millis,
    /// Whether the endpoint, after an ejection, has to serve requests before it counts as healthy (half-open state).
    probation: bool,
}

impl OutlierState {
    fn healthy(now: Millis) -> Self {
        OutlierState { failure_rate: 0.0, ejected_until: now, ejection_time: 0.0, probation: false }
    }

    fn is_ejected(&self, now: Millis) -> bool {
        self.ejected_until > now
    }

    fn next_ejection_time(&self) -> Millis {
        self.ejection_time.max(BASE_EJECTION_TIME)
    }

    /// Ejects the endpoint for `duration` and doubles the duration of the next ejection.
    fn eject(&mut self, now: Millis, duration: Millis) {
        self.ejected_until = now + duration;
        self.ejection_time = (2.0 * self.next_ejection_time()).min(MAX_EJECTION_TIME);
        self.probation = true;
    }

    fn record_success(&mut self, now: Millis, limit: f64) {
        self.failure_rate *= 1.0 - FAILURE_GAIN / 2.0;
        self.probation &= self.failure_rate > limit / 2.0;
        if !self.probation {
            self.ejection_time = 0.0;
        }
        // A response also ends an ejection if the endpoint was only slow.
        if self.failure_rate < limit {
            self.ejected_until = self.ejected_until.min(now);
        }
    }

    fn record_failure(&mut self, now: Millis, limit: f64, duration_factor: f64, jitter: f64) {
        self.failure_rate += FAILURE_GAIN * (1.0 - self.failure_rate);
        if self.failure_rate > limit && !self.is_ejected(now) {
            self.eject(now, duration_factor * self.next_ejection_time() * jitter);
        }
    }
}

/// The result of an attempt, as it counts for outlier detection.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptResult {
    /// The attempt was served.
    Success,
    /// The attempt failed or got no response.
    Failure,
    /// The endpoint rejected the attempt for lack of capacity.
    Rejection,
}

/// The failure rates above which an endpoint is ejected.
#[derive(Clone, Copy)]
pub(crate) struct FailureRateLimits {
    /// The limit of the failure rate over all request classes.
    pub overall: f64,
    /// The limit of the failure rate for a single request class.
    pub for_class: f64,
}

/// Failures, timeouts and ejections of an endpoint.
pub(crate) struct OutlierRecord {
    overall: OutlierState,
    by_class: Vec<OutlierState>,
    /// Whether the last failure was a rejection for lack of capacity.
    rejecting: bool,
    /// Time of the last response that served a request, or of a later send to the endpoint while it was idle.
    last_response_at: Millis,
    /// Number of attempts that have counted as unanswered, while still in flight, since the last response that served a
    /// request.
    unanswered: u32,
}

impl OutlierRecord {
    pub fn new(classes: usize, now: Millis) -> Self {
        OutlierRecord {
            overall: OutlierState::healthy(now),
            by_class: vec![OutlierState::healthy(now); classes],
            rejecting: false,
            last_response_at: now,
            unanswered: 0,
        }
    }

    /// Records the result of an attempt for the endpoint as a whole and for the request class, since an endpoint may
    /// fail or ignore one class and look healthy by the others. `jitter` spreads the ends of ejections over time.
    pub fn record(
        &mut self, result: AttemptResult, class: usize, limits: FailureRateLimits, now: Millis, jitter: f64,
    ) {
        let class_state = &mut self.by_class[class];
        match result {
            AttemptResult::Success => {
                self.last_response_at = now;
                self.unanswered = 0;
                self.overall.record_success(now, limits.overall);
                class_state.record_success(now, limits.for_class);
            }
            AttemptResult::Failure | AttemptResult::Rejection => {
                self.rejecting = result == AttemptResult::Rejection;
                self.overall.record_failure(now, limits.overall, 1.0, jitter);
                class_state.record_failure(now, limits.for_class, CLASS_EJECTION_FACTOR, jitter);
            }
        }
    }

    /// Running mean of failures over all request classes.
    pub fn failure_rate(&self) -> f64 {
        self.overall.failure_rate
    }

    /// Running mean of failures of this request class.
    pub fn failure_rate_of_class(&self, class: usize) -> f64 {
        self.by_class[class].failure_rate
    }

    /// Time of the last response that served a request, or of a later send to the endpoint while it was idle.
    pub fn last_response_at(&self) -> Millis {
        self.last_response_at
    }

    /// Ends all ejections and clears all failure rates.
    pub fn reset(&mut self, now: Millis) {
        self.overall = OutlierState::healthy(now);
        self.by_class.fill(OutlierState::healthy(now));
    }

    /// Switches to other request classes. Each one inherits the state of the old class in `inherits_from`, if any.
    pub fn reconfigure(&mut self, inherits_from: &[Option<usize>], now: Millis) {
        self.by_class =
            crate::reconfigure::inherit(&self.by_class, inherits_from, |_| OutlierState::healthy(now));
    }

    pub fn is_ejected(&self, now: Millis) -> bool {
        self.overall.is_ejected(now)
    }

    pub fn is_ejected_for_class(&self, class: usize, now: Millis) -> bool {
        self.by_class[class].is_ejected(now)
    }

    pub fn is_on_probation(&self) -> bool {
        self.overall.probation
    }

    pub fn is_on_probation_for_class(&self, class: usize) -> bool {
        self.by_class[class].probation
    }

    /// Whether the last failure was a rejection for lack of capacity.
    pub fn is_rejecting(&self) -> bool {
        self.rejecting
    }

    /// Records a send to an idle endpoint: the time without a response is measured from this moment.
    pub fn record_first_send(&mut self, now: Millis) {
        self.last_response_at = now;
    }

    /// Whether an attempt that has been in flight for too long shows that the endpoint hangs and has to be ejected.
    /// This takes an earlier unanswered attempt, and no request that was served since. A single lost response is no
    /// proof, as the endpoint may have only one slot.
    pub fn is_hanging(&self, now: Millis, timeout: Millis) -> bool {
        self.unanswered > 0 && !self.is_ejected(now) && now - self.last_response_at > timeout
    }

    /// Counts an attempt that is still in flight as unanswered.
    pub fn record_unanswered(&mut self) {
        self.unanswered += 1;
    }

    /// Ejects an endpoint that hangs, for at least `min_duration`.
    pub fn eject_hanging(&mut self, now: Millis, min_duration: Millis) {
        let duration = self.overall.next_ejection_time().max(min_duration);
        self.overall.eject(now, duration);
    }
}
