//! The one owner of what is counted. Any part counts, and any thread reads without waiting for another.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};

use serde_json::{Value, json};

/// How a request ended.
#[derive(Clone, Copy)]
pub enum End {
    Completed,
    Rejected,
    Failed,
}

/// What ended in a class, by [`End`].
#[derive(Default)]
struct Counts([AtomicU64; 3]);

/// Counts from the start of the process, and what holds at present.
#[derive(Default)]
pub struct Metrics {
    /// By name, so that a class keeps its counts whatever becomes of it in the configuration.
    classes: Mutex<BTreeMap<String, Arc<Counts>>>,
    /// Attempts written whole.
    pub upstream_requests: AtomicU64,
    pending: AtomicUsize,
    /// Listed backends, and those of them that are avoided.
    pub members: AtomicUsize,
    pub members_unavailable: AtomicUsize,
    pub config_reloads: AtomicU64,
    pub config_reload_errors: AtomicU64,
    /// Whether the process can serve.
    pub ready: AtomicBool,
}

/// A request that has been taken. It ends in one count, or in none if its client has left.
pub struct Taken {
    metrics: Arc<Metrics>,
    counts: Arc<Counts>,
}

impl Taken {
    pub fn end(self, end: End) {
        self.counts.0[end as usize].fetch_add(1, Relaxed);
    }
}

impl Drop for Taken {
    fn drop(&mut self) {
        self.metrics.pending.fetch_sub(1, Relaxed);
    }
}

impl Metrics {
    /// The counts of a class, which are shown from now on.
    fn counts(&self, class: &str) -> Arc<Counts> {
        let mut classes = self.classes.lock().unwrap_or_else(PoisonError::into_inner);
        match classes.get(class) {
            Some(counts) => counts.clone(),
            None => classes.entry(class.to_owned()).or_default().clone(),
        }
    }

    /// Shows a class before its first request has ended.
    pub fn show(&self, class: &str) {
        self.counts(class);
    }

    /// Notes that a request has been taken.
    pub fn take(self: &Arc<Self>, class: &str) -> Taken {
        self.pending.fetch_add(1, Relaxed);
        Taken { metrics: self.clone(), counts: self.counts(class) }
    }

    /// All figures under the names that the operators use.
    pub fn report(&self) -> Value {
        let classes = self.classes.lock().unwrap_or_else(PoisonError::into_inner);
        let ended = |end: End| {
            let count =
                |(name, c): (&String, &Arc<Counts>)| (name.clone(), c.0[end as usize].load(Relaxed).into());
            Value::Object(classes.iter().map(count).collect())
        };
        json!({
            "completed": ended(End::Completed),
            "rejected": ended(End::Rejected),
            "failed": ended(End::Failed),
            "upstream_requests": self.upstream_requests.load(Relaxed),
            "pending": self.pending.load(Relaxed),
            "members": self.members.load(Relaxed),
            "members_unavailable": self.members_unavailable.load(Relaxed),
            "config_reloads": self.config_reloads.load(Relaxed),
            "config_reload_errors": self.config_reload_errors.load(Relaxed),
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_request_is_pending_until_it_ends_in_one_count_or_none() {
        let metrics = Arc::new(Metrics::default());
        metrics.show("idle");
        let (served, left) = (metrics.take("page"), metrics.take("page"));
        assert_eq!(metrics.report()["pending"], 2);
        served.end(End::Completed);
        drop(left);
        let report = metrics.report();
        assert_eq!(report["pending"], 0);
        assert_eq!(report["completed"], json!({"idle": 0, "page": 1}));
        assert_eq!((&report["rejected"]["page"], &report["failed"]["page"]), (&json!(0), &json!(0)));
    }
}
