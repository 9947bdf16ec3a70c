//! Outlier detection across all endpoints: failure rate limits, and whether ejections are applied or ignored.

use crate::endpoints::{EndpointEntry, EndpointTable};
use crate::gossip::REPORT_EXPIRY;
use crate::ids::Millis;
use crate::outlier_record::FailureRateLimits;

/// Failure rate above which an endpoint is ejected.
const MAX_FAILURE_RATE: f64 = 0.4;
/// The failure rate limit is at least this multiple of the median failure rate, up to `MAX_LIMIT`.
const MEDIAN_FACTOR: f64 = 3.0;
/// Upper bound of the failure rate limit.
const MAX_LIMIT: f64 = 0.85;
/// Ejections are ignored while more than this fraction of the endpoints is ejected, not counting those that reject
/// requests for lack of capacity. The same fraction applies to ejections for a single request class; there
/// all are counted.
pub(crate) const PANIC_THRESHOLD: f64 = 0.9;
/// Ejections are also ignored while more than this fraction of the endpoints is ejected, not counting those that
/// reject requests for lack of capacity, and less than this fraction of attempts succeeds.
const PANIC_THRESHOLD_UNDER_FAILURES: f64 = 0.5;
/// Number of attempts over which the success rate is averaged.
const SUCCESS_SAMPLES: f64 = 100.0;
/// Number of proxies that have to report an endpoint as an outlier before it is avoided.
const MIN_REPORTS: u32 = 2;

/// Failure statistics of all endpoints, with which each endpoint is compared.
pub(crate) struct OutlierDetector {
    median_failure_rate: f64,
    median_failure_rate_by_class: Vec<f64>,
    /// The fraction of the endpoints that is ejected for a single request class, by class.
    ejected_fraction_by_class: Vec<f64>,
    /// Whether so many endpoints look unhealthy that ejections are ignored.
    panic_mode: bool,
    /// Running mean of the fraction of attempts that were served.
    success_rate: f64,
}

impl OutlierDetector {
    pub fn new(classes: usize) -> Self {
        OutlierDetector {
            median_failure_rate: 0.0,
            median_failure_rate_by_class: vec![0.0; classes],
            ejected_fraction_by_class: vec![0.0; classes],
            panic_mode: false,
            success_rate: 1.0,
        }
    }

    /// Whether so many endpoints look unhealthy that ejections are ignored.
    pub fn is_in_panic_mode(&self) -> bool {
        self.panic_mode
    }

    /// The fraction of the endpoints that is ejected for this request class alone.
    pub fn ejected_fraction(&self, class: usize) -> f64 {
        self.ejected_fraction_by_class[class]
    }

    /// Whether ejections for this request class apply; they are ignored if nearly all endpoints are ejected for it.
    pub fn class_ejections_apply(&self, class: usize) -> bool {
        self.ejected_fraction_by_class[class] <= PANIC_THRESHOLD
    }

    /// Updates the success rate with the result of an attempt.
    pub fn record_attempt(&mut self, served: bool) {
        self.success_rate += (f64::from(u8::from(served)) - self.success_rate) / SUCCESS_SAMPLES;
    }

    /// The failure rates above which an endpoint is ejected, as a whole and for this request class.
    pub fn limits(&self, class: usize) -> FailureRateLimits {
        FailureRateLimits {
            overall: self.limit(self.median_failure_rate),
            for_class: self.limit(self.median_failure_rate_by_class[class]),
        }
    }

    /// The failure rate above which an endpoint is ejected. It rises with failures that affect all endpoints: otherwise
    /// one endpoint after another would be ejected for them until none is left. Where some attempts fail at every
    /// endpoint, two failures in a row are no sign of an outlier.
    fn limit(&self, median_failure_rate: f64) -> f64 {
        let common_rate = MEDIAN_FACTOR * (1.0 - self.success_rate);
        (MAX_FAILURE_RATE + common_rate).max(MEDIAN_FACTOR * median_failure_rate).min(MAX_LIMIT)
    }

    /// Whether any requests may be sent to an endpoint at present.
    pub fn is_usable(&self, entry: &EndpointEntry, now: Millis) -> bool {
        let record = &entry.outlier;
        let is_reported =
            entry.outlier_reports >= MIN_REPORTS && now - record.last_response_at() > REPORT_EXPIRY;
        let is_unhealthy = record.is_ejected(now) || is_reported;
        // Panic mode readmits endpoints that look unhealthy, except for those that reject requests for lack of
        // capacity.
        let is_ignored = self.panic_mode && !record.is_rejecting();
        entry.is_in_service() && (!is_unhealthy || is_ignored)
    }

    /// Recomputes the statistics of all endpoints.
    pub fn review(&mut self, endpoints: &EndpointTable, now: Millis) {
        let in_service: Vec<&EndpointEntry> = endpoints.in_service().collect();
        let overall = in_service.iter().map(|entry| entry.outlier.failure_rate());
        self.median_failure_rate = median(overall.collect());
        for (class, rate) in self.median_failure_rate_by_class.iter_mut().enumerate() {
            let rates = in_service.iter().map(|entry| entry.outlier.failure_rate_of_class(class));
            *rate = median(rates.collect());
        }
        let count = in_service.len() as f64 + 0.01; // avoids a division by zero
        for (class, fraction) in self.ejected_fraction_by_class.iter_mut().enumerate() {
            let ejected =
                in_service.iter().filter(|entry| entry.outlier.is_ejected_for_class(class, now)).count();
            *fraction = ejected as f64 / count;
        }
        let looks_unhealthy =
            |entry: &&&EndpointEntry| entry.outlier.is_ejected(now) && !entry.outlier.is_rejecting();
        let unhealthy = in_service.iter().filter(looks_unhealthy).count() as f64;
        self.panic_mode = unhealthy > PANIC_THRESHOLD * count
            || unhealthy > PANIC_THRESHOLD_UNDER_FAILURES * count
                && self.success_rate < PANIC_THRESHOLD_UNDER_FAILURES;
    }

    /// Switches to other request classes. Each one inherits the statistics of the old class in `inherits_from`, if any.
    pub fn reconfigure(&mut self, inherits_from: &[Option<usize>]) {
        self.ejected_fraction_by_class =
            crate::reconfigure::inherit(&self.ejected_fraction_by_class, inherits_from, |_| 0.0);
        self.median_failure_rate_by_class =
            crate::reconfigure::inherit(&self.median_failure_rate_by_class, inherits_from, |_| 0.0);
    }
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len().saturating_sub(1) / 2).copied().unwrap_or(0.0)
}
