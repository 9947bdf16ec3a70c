//! Metrics of requests, by class.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use leadrelay_core::RejectionReason;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};

use super::labels::{ByCause, ByClass, StaticLabel, register_by_reason, time_histogram};
use crate::cause::Cause;

/// Metrics of one class.
pub struct ClassMetrics {
    ended: [Counter; Cause::ALL.len()],
    seconds: Histogram,
}

impl ClassMetrics {
    /// Counts a request that ended after `elapsed`.
    pub fn request_ended(&self, cause: Cause, elapsed: Duration) {
        self.ended[cause as usize].inc();
        if cause != Cause::ClientDisconnected {
            self.seconds.observe(elapsed.as_secs_f64());
        }
    }

    /// How many requests have ended for a cause.
    pub fn ended(&self, cause: Cause) -> u64 {
        self.ended[cause as usize].get()
    }
}

/// Classes by name, so that one keeps its counts whatever becomes of it in the configuration.
pub type ClassesByName = BTreeMap<String, Arc<ClassMetrics>>;

/// Metrics of requests.
pub struct RequestMetrics {
    classes: Mutex<ClassesByName>,
    by_cause: Family<ByCause, Counter>,
    seconds: Family<ByClass, Histogram, fn() -> Histogram>,
    pub pending: Gauge,
    rejections: [Counter; RejectionReason::COUNT],
}

impl RequestMetrics {
    /// Registers them.
    pub fn register(registry: &mut Registry) -> Self {
        let by_cause = Family::<ByCause, Counter>::default();
        let help = "Requests that have ended, by class and the cause of their end";
        registry.register("requests", help, by_cause.clone());
        let seconds: Family<ByClass, Histogram, fn() -> Histogram> =
            Family::new_with_constructor(time_histogram);
        let help = "Time from when a request was taken to the end of its answer, those left by their clients not included";
        registry.register_with_unit("request", help, Unit::Seconds, seconds.clone());
        let pending = Gauge::default();
        registry.register("requests_pending", "Requests taken and not ended", pending.clone());
        let reasons = RejectionReason::ALL.map(RejectionReason::name);
        let rejections = register_by_reason(registry, "refusals", "Requests refused by a decision", reasons);
        RequestMetrics { classes: Mutex::default(), by_cause, seconds, pending, rejections }
    }

    /// The metrics of a class, which are shown from now on.
    pub fn class(&self, name: &str) -> Arc<ClassMetrics> {
        let mut classes = self.classes();
        if let Some(class) = classes.get(name) {
            return class.clone();
        }
        let ended = Cause::ALL.map(|cause| {
            let labels = ByCause { class: name.to_owned(), cause: StaticLabel(cause.name()) };
            self.by_cause.get_or_create_owned(&labels)
        });
        let seconds = self.seconds.get_or_create_owned(&ByClass { class: name.to_owned() });
        let class = Arc::new(ClassMetrics { ended, seconds });
        classes.insert(name.to_owned(), class.clone());
        class
    }

    /// The metrics of all classes.
    pub fn classes(&self) -> MutexGuard<'_, ClassesByName> {
        self.classes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request that the balancer has rejected.
    pub fn rejected(&self, reason: RejectionReason) {
        self.rejections[reason as usize].inc();
    }
}
