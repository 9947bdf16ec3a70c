//! The summary at the end of the demo, as JSON and as text.

use std::fmt;
use std::time::Duration;

use comfy_table::Table;
use comfy_table::presets::ASCII_MARKDOWN;
use leadrelay_proxy::{Cause, RunningProxy};
use serde_json::{Map, Value, json};

use super::backend::{Backend, BackendCounts, Machine};
use super::load::{LoadGenerator, RequestCounts};

/// The results of the whole demo.
pub struct Summary {
    requests: RequestCounts,
    p50_ms: f64,
    p99_ms: f64,
    backends: Vec<BackendSummary>,
    /// The number of requests by cause of completion, as the proxy's metrics name it.
    causes: Map<String, Value>,
    /// The number of the proxy's threshold decisions, by name.
    decisions: Map<String, Value>,
}

struct BackendSummary {
    machine: Machine,
    counts: BackendCounts,
}

impl Summary {
    pub fn new(proxy: &RunningProxy, backends: &[Backend], load: &LoadGenerator) -> Self {
        let causes =
            Cause::ALL.map(|cause| (cause.name().to_owned(), proxy.metrics.requests_ended(cause).into()));
        let decisions = proxy.metrics.decisions().map(|(name, count)| (name.to_owned(), count.into()));
        let backends = backends
            .iter()
            .map(|backend| BackendSummary { machine: backend.machine, counts: backend.counts() });
        Summary {
            requests: load.counts(),
            p50_ms: load.latency_quantile_ms(0.5),
            p99_ms: load.latency_quantile_ms(0.99),
            backends: backends.collect(),
            causes: causes.into_iter().collect(),
            decisions: decisions.into_iter().collect(),
        }
    }

    pub fn to_json(&self) -> Value {
        let backends: Vec<Value> = self.backends.iter().map(BackendSummary::to_json).collect();
        json!({
            "sent": self.requests.sent,
            "in_time": self.requests.in_time,
            "late": self.requests.late,
            "refused": self.requests.rejected,
            "failed": self.requests.failed,
            "p50_ms": self.p50_ms,
            "p99_ms": self.p99_ms,
            "backends": backends,
            "causes": self.causes,
            "choices": self.decisions,
        })
    }

    fn backend_table(&self) -> Table {
        let mut table = Table::new();
        table.load_preset(ASCII_MARKDOWN);
        table.set_header(["backend", "speed", "served", "failed", "busy seconds"]);
        for BackendSummary { machine, counts } in &self.backends {
            table.add_row([
                machine.name.to_owned(),
                json!(machine.speed).to_string(),
                counts.served.to_string(),
                counts.failed.to_string(),
                json!(seconds(counts.busy_time)).to_string(),
            ]);
        }
        table
    }

    /// Formats a count with its percentage of all requests.
    fn with_percentage(&self, count: u64) -> String {
        let sent = self.requests.sent.max(1) as f64;
        format!("{count} ({:.1}%)", 100.0 * count as f64 / sent)
    }

    /// The number of threshold decisions with this name.
    fn decisions(&self, name: &str) -> u64 {
        self.decisions.get(name).and_then(Value::as_u64).unwrap_or(0)
    }
}

impl BackendSummary {
    fn to_json(&self) -> Value {
        json!({
            "name": self.machine.name,
            "speed": self.machine.speed,
            "served": self.counts.served,
            "failed": self.counts.failed,
            "busy_s": seconds(self.counts.busy_time),
        })
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(
            formatter,
            "{} requests: in time {}, late {}, rejected {}, failed {}; ",
            self.requests.sent,
            self.with_percentage(self.requests.in_time),
            self.with_percentage(self.requests.late),
            self.with_percentage(self.requests.rejected),
            self.with_percentage(self.requests.failed),
        )?;
        write!(
            formatter,
            "p50 {} ms, p99 {} ms\n\n{}\n\n",
            json!(self.p50_ms),
            json!(self.p99_ms),
            self.backend_table(),
        )?;
        write!(
            formatter,
            "Threshold decisions: {} sent at once, {} sent because the queue exceeded the threshold, {} sent near \
             their latency objective, {} held for a faster backend.",
            self.decisions("at_once"),
            self.decisions("past_threshold"),
            self.decisions("urgent"),
            self.decisions("held"),
        )
    }
}

/// A duration in seconds, rounded to the millisecond.
fn seconds(duration: Duration) -> f64 {
    (duration.as_secs_f64() * 1000.0).round() / 1000.0
}
