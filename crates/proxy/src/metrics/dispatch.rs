//! Metrics of the balancer's request queue and of its dispatch decisions.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use leadrelay_core::{Gauges, ThresholdDecision};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::labels::{ByDecision, register_by_label};

/// Metrics of the balancer's request queue and of its dispatch decisions.
pub struct DispatchMetrics {
    /// Decisions of the two-speed threshold, indexed by decision.
    decisions: [Counter; ThresholdDecision::COUNT],
    /// Requests in the proxy's queue.
    waiting: Gauge,
    /// Requests with an attempt in flight.
    running: Gauge,
    /// Retries that the retry budget allows.
    retry_budget: Gauge<f64, AtomicU64>,
}

impl DispatchMetrics {
    /// Registers these metrics.
    pub fn register(registry: &mut Registry) -> Self {
        let decision_names = ThresholdDecision::ALL.map(ThresholdDecision::name);
        let help = "What the two-speed threshold decided at each look at a waiting request";
        let decisions =
            register_by_label::<ByDecision, Counter, _>(registry, "choices", help, decision_names);
        let waiting = Gauge::default();
        registry.register("requests_waiting", "Requests in the proxy's own queue", waiting.clone());
        let running = Gauge::default();
        registry.register("requests_running", "Requests with an attempt out", running.clone());
        let retry_budget = Gauge::<f64, AtomicU64>::default();
        let help = "Further attempts that the budget allows now";
        registry.register("retry_budget", help, retry_budget.clone());
        DispatchMetrics { decisions, waiting, running, retry_budget }
    }

    /// Sets the gauges and the decision counters to the values that the balancer reports.
    pub fn set(&self, gauges: &Gauges) {
        for (counter, decision) in self.decisions.iter().zip(ThresholdDecision::ALL) {
            counter.inner().store(gauges.decisions.count(decision), Relaxed);
        }
        self.waiting.set(gauges.waiting as i64);
        self.running.set(gauges.running as i64);
        self.retry_budget.set(gauges.retry_budget);
    }

    /// The name of each decision, with how often the balancer has made it.
    pub fn decisions(&self) -> [(&'static str, u64); ThresholdDecision::COUNT] {
        ThresholdDecision::ALL.map(|decision| (decision.name(), self.decisions[decision as usize].get()))
    }

    /// The number of requests in the proxy's queue.
    pub fn waiting(&self) -> i64 {
        self.waiting.get()
    }
}
