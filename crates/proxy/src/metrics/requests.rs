//! Metrics of requests, by request class.

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

/// Metrics of the requests of one class.
pub struct ClassMetrics {
    /// Requests that have ended, indexed by cause.
    ended: [Counter; Cause::ALL.len()],
    /// Time from the arrival of a request to its end, in seconds, without requests whose client disconnected.
    duration: Histogram,
}

impl ClassMetrics {
    /// Counts a request that ended `elapsed` after its arrival.
    pub fn request_ended(&self, cause: Cause, elapsed: Duration) {
        self.ended[cause as usize].inc();
        if cause != Cause::ClientDisconnected {
            self.duration.observe(elapsed.as_secs_f64());
        }
    }

    /// The number of requests that have ended for a cause.
    pub fn ended(&self, cause: Cause) -> u64 {
        self.ended[cause as usize].get()
    }
}

/// Metrics of each class by its name. Indexed by name, the counts of a class survive any change of the configuration.
pub type ClassesByName = BTreeMap<String, Arc<ClassMetrics>>;

/// Metrics of the requests of all classes.
pub struct RequestMetrics {
    /// The classes registered so far.
    classes: Mutex<ClassesByName>,
    /// Requests that have ended, by class and cause.
    by_cause: Family<ByCause, Counter>,
    /// Time from the arrival of a request to its end, in seconds, by class.
    durations: Family<ByClass, Histogram, fn() -> Histogram>,
    /// Requests that have been accepted and have not ended.
    pub pending: Gauge,
    /// Requests that the balancer has rejected, indexed by reason.
    rejections: [Counter; RejectionReason::COUNT],
}

impl RequestMetrics {
    /// Registers these metrics.
    pub fn register(registry: &mut Registry) -> Self {
        let by_cause = Family::<ByCause, Counter>::default();
        let help = "Requests that have ended, by class and the cause of their end";
        registry.register("requests", help, by_cause.clone());
        let durations: Family<ByClass, Histogram, fn() -> Histogram> =
            Family::new_with_constructor(time_histogram);
        let help = "Time from when a request was taken to the end of its answer, those left by their clients not included";
        registry.register_with_unit("request", help, Unit::Seconds, durations.clone());
        let pending = Gauge::default();
        registry.register("requests_pending", "Requests taken and not ended", pending.clone());
        let reasons = RejectionReason::ALL.map(RejectionReason::name);
        let rejections = register_by_reason(registry, "refusals", "Requests refused by a decision", reasons);
        RequestMetrics { classes: Mutex::default(), by_cause, durations, pending, rejections }
    }

    /// The metrics of a class. The first call registers the class, which is exported from then on.
    pub fn class(&self, name: &str) -> Arc<ClassMetrics> {
        let mut classes = self.classes();
        if let Some(class) = classes.get(name) {
            return class.clone();
        }
        let ended = Cause::ALL.map(|cause| {
            let labels = ByCause { class: name.to_owned(), cause: StaticLabel(cause.name()) };
            self.by_cause.get_or_create_owned(&labels)
        });
        let duration = self.durations.get_or_create_owned(&ByClass { class: name.to_owned() });
        let class = Arc::new(ClassMetrics { ended, duration });
        classes.insert(name.to_owned(), class.clone());
        class
    }

    /// The metrics of all registered classes.
    pub fn classes(&self) -> MutexGuard<'_, ClassesByName> {
        self.classes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request that the balancer has rejected.
    pub fn rejected(&self, reason: RejectionReason) {
        self.rejections[reason as usize].inc();
    }
}
