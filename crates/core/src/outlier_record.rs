//! Failures, timeouts and ejections of one endpoint.

use crate::ids::Millis;

/// Weight of a failure in a failure rate: two in a row eject.
const FAILURE_GAIN: f64 = 0.3;
/// Duration of a first ejection; it doubles with each failure on probation.
const BASE_EJECTION_TIME: Millis = 250.0;
/// Longest duration of an ejection: an endpoint that works again is found within this.
pub(crate) const MAX_EJECTION_TIME: Millis = 4000.0;
/// An ejection for one request class alone lasts so many times longer, as each trial may cost a request.
const CLASS_EJECTION_FACTOR: f64 = 4.0;

/// How well an endpoint does, as a whole or for one request class.
#[derive(Clone)]
struct OutlierState {
    failure_rate: f64,
    ejected_until: Millis,
    /// Duration of the next ejection; 0 before the first.
    ejection_time: Millis,
    /// Back from an ejection, half open: it has to serve requests before it counts as healthy.
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

    /// Ejects for a duration; the next ejection lasts twice as long.
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
        // A response also ends an ejection that came of mere slowness.
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

/// What an attempt says of its endpoint.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptResult {
    /// It was served.
    Success,
    /// It failed or got no response.
    Failure,
    /// It was rejected for want of capacity.
    Rejection,
}

/// Failure rates above which an endpoint is ejected.
#[derive(Clone, Copy)]
pub(crate) struct FailureRateLimits {
    /// As a whole.
    pub overall: f64,
    /// For one request class.
    pub of_class: f64,
}

/// Failures and timeouts of an endpoint.
pub(crate) struct OutlierRecord {
    overall: OutlierState,
    by_class: Vec<OutlierState>,
    /// Its last failure was a rejection for want of capacity.
    rejecting: bool,
    /// Last response, or the send that ended its idleness.
    last_response_at: Millis,
    /// Attempts that timed out in place since the last response.
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

    /// Takes in the result of an attempt, for the endpoint as a whole and for the request class alone: some fail or
    /// ignore one class and look healthy by the others. `jitter` spreads the ends of ejections.
    pub fn record(
        &mut self, result: AttemptResult, class: usize, limits: FailureRateLimits, now: Millis, jitter: f64,
    ) {
        let of_class = &mut self.by_class[class];
        match result {
            AttemptResult::Success => {
                self.last_response_at = now;
                self.unanswered = 0;
                self.overall.record_success(now, limits.overall);
                of_class.record_success(now, limits.of_class);
            }
            AttemptResult::Failure | AttemptResult::Rejection => {
                self.rejecting = result == AttemptResult::Rejection;
                self.overall.record_failure(now, limits.overall, 1.0, jitter);
                of_class.record_failure(now, limits.of_class, CLASS_EJECTION_FACTOR, jitter);
            }
        }
    }

    /// Running mean of failures over all request classes.
    pub fn failure_rate(&self) -> f64 {
        self.overall.failure_rate
    }

    /// Running mean of failures of a request class.
    pub fn failure_rate_of_class(&self, class: usize) -> f64 {
        self.by_class[class].failure_rate
    }

    /// Last response, or the send that ended its idleness.
    pub fn last_response_at(&self) -> Millis {
        self.last_response_at
    }

    /// Nothing is held against it any more.
    pub fn reset(&mut self, now: Millis) {
        self.overall = OutlierState::healthy(now);
        self.by_class.fill(OutlierState::healthy(now));
    }

    /// Takes other request classes; each inherits the state of the one that is named for it.
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

    /// Whether its last failure was a rejection for want of capacity.
    pub fn is_rejecting(&self) -> bool {
        self.rejecting
    }

    /// An attempt was sent while none was in flight: silence counts from here.
    pub fn record_first_send(&mut self, now: Millis) {
        self.last_response_at = now;
    }

    /// An attempt has timed out in place. If another one did so before it and there has been no response since, the
    /// endpoint hangs and is ejected; one lost response is no hang, as an endpoint may have one slot only.
    pub fn is_hanging(&self, now: Millis, timeout: Millis) -> bool {
        self.unanswered > 0 && !self.is_ejected(now) && now - self.last_response_at > timeout
    }

    /// Counts an attempt that timed out in place.
    pub fn record_unanswered(&mut self) {
        self.unanswered += 1;
    }

    /// Ejects an endpoint that hangs, at least for that duration.
    pub fn eject_hanging(&mut self, now: Millis, min_duration: Millis) {
        let duration = self.overall.next_ejection_time().max(min_duration);
        self.overall.eject(now, duration);
    }
}
