//! The one owner of what is counted. Any part counts, and any thread reads without waiting for another.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};

use leadrelay_core::{Decision, EndpointStatus, Gauges, Invariant, Outcome, RejectionReason};
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};
use serde_json::{Value, json};
use tokio::time::Instant;
use tracing::error;

use crate::access_record::AccessRecord;
use crate::cause::Cause;
use crate::close_reason::{BackendClose, ClientClose};
use crate::denial::Denial;

/// A label that is one of a few fixed words.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Word(&'static str);

impl EncodeLabelValue for Word {
    fn encode(&self, encoder: &mut LabelValueEncoder) -> Result<(), std::fmt::Error> {
        EncodeLabelValue::encode(&self.0, encoder)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByCause {
    class: String,
    cause: Word,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByClass {
    class: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByOutcome {
    outcome: Word,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByStanding {
    standing: Word,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct BySide {
    side: Word,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByChoice {
    choice: Word,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByReason {
    reason: Word,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByInvariant {
    invariant: Word,
    layer: Word,
}

/// Counters by reason, each shown from the start.
fn by_reason<const N: usize>(
    registry: &mut Registry, name: &str, help: &str, reasons: [&'static str; N],
) -> [Counter; N] {
    let family = Family::<ByReason, Counter>::default();
    registry.register(name, help, family.clone());
    reasons.map(|reason| family.get_or_create_owned(&ByReason { reason: Word(reason) }))
}

/// Upper bounds of the buckets for times, in seconds.
const BUCKETS: [f64; 14] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0];

fn times() -> Histogram {
    Histogram::new(BUCKETS)
}

/// What ended in a class.
struct Counts {
    ended: [Counter; Cause::ALL.len()],
    seconds: Histogram,
}

/// Counts from the start of the process, and what holds at present.
pub struct Metrics {
    registry: Registry,
    /// By name, so that a class keeps its counts whatever becomes of it in the configuration.
    classes: Mutex<BTreeMap<String, Arc<Counts>>>,
    requests: Family<ByCause, Counter>,
    request_seconds: Family<ByClass, Histogram, fn() -> Histogram>,
    outcomes: [Counter; Outcome::COUNT],
    attempt_seconds: Histogram,
    /// Attempts written whole.
    pub upstream_requests: Counter,
    /// Connections opened to backends.
    pub dials: Counter,
    pending: Gauge,
    standings: [Gauge; EndpointStatus::ALL.len()],
    list_valid: Gauge,
    decisions: [Counter; Decision::COUNT],
    waiting: Gauge,
    running: Gauge,
    retry_budget: Gauge<f64, AtomicU64>,
    connections: [Gauge<i64, AtomicI64>; 2],
    /// What would have broken an invariant, had the core carried it out.
    decision_violations: [Counter; Invariant::COUNT],
    /// What broke an invariant at a socket.
    socket_violations: [Counter; Invariant::COUNT],
    /// Sends that were denied at the last moment.
    denials: [Counter; Denial::ALL.len()],
    refusals: [Counter; RejectionReason::COUNT],
    retries: [Counter; Outcome::COUNT],
    client_closes: [Counter; ClientClose::ALL.len()],
    backend_closes: [Counter; BackendClose::ALL.len()],
    /// Files taken.
    pub config_reloads: Counter,
    /// Files turned down.
    pub config_reload_errors: Counter,
    /// Whether the process can serve.
    pub ready: AtomicBool,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("leadrelay");
        let requests = Family::<ByCause, Counter>::default();
        registry.register(
            "requests",
            "Requests that have ended, by class and the cause of their end",
            requests.clone(),
        );
        let request_seconds: Family<ByClass, Histogram, fn() -> Histogram> =
            Family::new_with_constructor(times);
        let help = "Time from when a request was taken to the end of its answer, those left by their clients not included";
        registry.register_with_unit("request", help, Unit::Seconds, request_seconds.clone());
        let by_outcome = Family::<ByOutcome, Counter>::default();
        registry.register("attempts", "Attempts at backends that have ended, by outcome", by_outcome.clone());
        let outcomes =
            Outcome::ALL.map(|o| by_outcome.get_or_create_owned(&ByOutcome { outcome: Word(o.name()) }));
        let attempt_seconds = times();
        let help = "Time from the send of an attempt to the first byte of its answer, served ones only";
        registry.register_with_unit("attempt", help, Unit::Seconds, attempt_seconds.clone());
        let upstream_requests = Counter::default();
        registry.register(
            "attempts_written",
            "Attempts written whole to backends",
            upstream_requests.clone(),
        );
        let dials = Counter::default();
        registry.register("backend_dials", "Connections opened to backends", dials.clone());
        let pending = Gauge::default();
        registry.register("requests_pending", "Requests taken and not ended", pending.clone());
        let by_standing = Family::<ByStanding, Gauge>::default();
        registry.register("members", "Listed backends, by how they are treated now", by_standing.clone());
        let standings = EndpointStatus::ALL
            .map(|s| by_standing.get_or_create_owned(&ByStanding { standing: Word(s.name()) }));
        let list_valid = Gauge::default();
        let help = "Whether requests may be sent by the server list that is held: 1, or 0 while it is stale";
        registry.register("list_valid", help, list_valid.clone());
        let by_choice = Family::<ByChoice, Counter>::default();
        let help = "What the two-speed threshold decided at each look at a waiting request";
        registry.register("choices", help, by_choice.clone());
        let decisions =
            Decision::ALL.map(|d| by_choice.get_or_create_owned(&ByChoice { choice: Word(d.name()) }));
        let waiting = Gauge::default();
        registry.register("requests_waiting", "Requests in the proxy's own queue", waiting.clone());
        let running = Gauge::default();
        registry.register("requests_running", "Requests with an attempt out", running.clone());
        let retry_budget = Gauge::<f64, AtomicU64>::default();
        registry.register(
            "retry_budget",
            "Further attempts that the budget allows now",
            retry_budget.clone(),
        );
        let by_side = Family::<BySide, Gauge<i64, AtomicI64>>::default();
        registry.register("connections", "Open connections", by_side.clone());
        let connections =
            ["clients", "backends"].map(|s| by_side.get_or_create_owned(&BySide { side: Word(s) }));
        let violations = Family::<ByInvariant, Counter>::default();
        let help = "Violations of the proxy's own invariants, each a fault of the program, by the layer that saw them";
        registry.register("invariant_violations", help, violations.clone());
        let in_layer = |layer: &'static str| {
            Invariant::ALL.map(|invariant| {
                let labels = ByInvariant { invariant: Word(invariant.name()), layer: Word(layer) };
                violations.get_or_create_owned(&labels)
            })
        };
        let (decision_violations, socket_violations) = (in_layer("decision"), in_layer("socket"));
        let help = "Attempts denied as their first byte was to be written";
        let denials = by_reason(&mut registry, "attempts_denied", help, Denial::ALL.map(Denial::name));
        let help = "Requests refused by a decision";
        let refusals =
            by_reason(&mut registry, "refusals", help, RejectionReason::ALL.map(RejectionReason::name));
        let help = "Further attempts, by how the one before ended";
        let retries = by_reason(&mut registry, "retries", help, Outcome::ALL.map(Outcome::name));
        let help = "Closed connections of clients";
        let names = ClientClose::ALL.map(ClientClose::name);
        let client_closes = by_reason(&mut registry, "client_connections_closed", help, names);
        let help = "Closed connections to backends";
        let names = BackendClose::ALL.map(BackendClose::name);
        let backend_closes = by_reason(&mut registry, "backend_connections_closed", help, names);
        let (config_reloads, config_reload_errors) = (Counter::default(), Counter::default());
        registry.register("config_reloads", "Configuration files taken at SIGHUP", config_reloads.clone());
        let help = "Configuration files turned down at SIGHUP";
        registry.register("config_reload_errors", help, config_reload_errors.clone());
        Metrics {
            registry,
            classes: Mutex::default(),
            requests,
            request_seconds,
            outcomes,
            attempt_seconds,
            upstream_requests,
            dials,
            pending,
            standings,
            list_valid,
            decisions,
            waiting,
            running,
            retry_budget,
            connections,
            decision_violations,
            socket_violations,
            denials,
            refusals,
            retries,
            client_closes,
            backend_closes,
            config_reloads,
            config_reload_errors,
            ready: AtomicBool::new(false),
        }
    }
}

/// Counts a request that has been accepted. It ends for one cause; dropped without one, its client has left.
pub struct RequestTicket {
    metrics: Arc<Metrics>,
    counts: Arc<Counts>,
    arrived_at: Instant,
    /// What the access event tells; `None` for those that are not sampled.
    access_record: Option<Rc<AccessRecord>>,
    ended: bool,
}

impl RequestTicket {
    /// Keeps the record for the access event, which is written at the end.
    pub fn set_access_record(&mut self, access_record: Option<Rc<AccessRecord>>) {
        self.access_record = access_record;
    }

    /// Counts its end.
    pub fn end(mut self, cause: Cause) {
        self.count(cause);
    }

    fn count(&mut self, cause: Cause) {
        self.ended = true;
        let elapsed = self.arrived_at.elapsed();
        self.counts.ended[cause as usize].inc();
        if cause != Cause::ClientDisconnected {
            self.counts.seconds.observe(elapsed.as_secs_f64());
        }
        if let Some(access_record) = &self.access_record {
            access_record.log(cause, elapsed);
        }
    }
}

impl Drop for RequestTicket {
    fn drop(&mut self) {
        if !self.ended {
            self.count(Cause::ClientDisconnected);
        }
        self.metrics.pending.dec();
    }
}

impl Metrics {
    /// The counts of a class, which are shown from now on.
    fn counts(&self, class: &str) -> Arc<Counts> {
        let mut classes = self.classes.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(counts) = classes.get(class) {
            return counts.clone();
        }
        let by_cause = |cause: Cause| {
            let labels = ByCause { class: class.to_owned(), cause: Word(cause.name()) };
            self.requests.get_or_create_owned(&labels)
        };
        let seconds = self.request_seconds.get_or_create_owned(&ByClass { class: class.to_owned() });
        let counts = Arc::new(Counts { ended: Cause::ALL.map(by_cause), seconds });
        classes.insert(class.to_owned(), counts.clone());
        counts
    }

    /// Shows a class before its first request has ended.
    pub fn show(&self, class: &str) {
        self.counts(class);
    }

    /// Counts a request as pending whose last byte arrived at `arrived_at`.
    pub fn start_request(self: &Arc<Self>, class: &str, arrived_at: Instant) -> RequestTicket {
        self.pending.inc();
        RequestTicket {
            metrics: self.clone(),
            counts: self.counts(class),
            arrived_at,
            access_record: None,
            ended: false,
        }
    }

    /// Notes how an attempt ended, and after which span in milliseconds.
    pub fn attempt(&self, outcome: Outcome, latency: f64) {
        self.outcomes[outcome as usize].inc();
        if outcome == Outcome::Served {
            self.attempt_seconds.observe(latency / 1000.0);
        }
    }

    /// Notes what holds in the module at present.
    pub fn gauge(&self, now: &Gauges) {
        for (gauge, count) in self.standings.iter().zip(now.endpoints_by_status) {
            gauge.set(count as i64);
        }
        for (counter, decision) in self.decisions.iter().zip(Decision::ALL) {
            counter.inner().store(now.decisions.count(decision), Relaxed);
        }
        for (counter, invariant) in self.decision_violations.iter().zip(Invariant::ALL) {
            counter.inner().store(now.violations.count(invariant), Relaxed);
        }
        self.list_valid.set(i64::from(now.list_valid));
        self.waiting.set(now.waiting as i64);
        self.running.set(now.running as i64);
        self.retry_budget.set(now.retry_budget);
    }

    /// Counts a violation of an invariant at a socket, and tells of it.
    pub fn violated(&self, invariant: Invariant, request: &str) {
        error!(invariant = invariant.name(), request, "an invariant is violated");
        self.socket_violations[invariant as usize].inc();
    }

    /// Counts a send that was denied at the last moment.
    pub fn denied(&self, denial: Denial) {
        self.denials[denial as usize].inc();
    }

    /// Counts a refusal.
    pub fn refused(&self, reason: RejectionReason) {
        self.refusals[reason as usize].inc();
    }

    /// Counts a further attempt, by how the one before ended.
    pub fn retried(&self, after: Outcome) {
        self.retries[after as usize].inc();
    }

    /// Counts a closed connection of a client.
    pub fn client_closed(&self, reason: ClientClose) {
        self.client_closes[reason as usize].inc();
    }

    /// Counts a closed connection to a backend.
    pub fn backend_closed(&self, reason: BackendClose) {
        self.backend_closes[reason as usize].inc();
    }

    /// Notes how many connections are open.
    pub fn connected(&self, clients: usize, backends: usize) {
        self.connections[0].set(clients as i64);
        self.connections[1].set(backends as i64);
    }

    /// How many requests have ended for a cause, over all classes.
    pub fn ended(&self, cause: Cause) -> u64 {
        let classes = self.classes.lock().unwrap_or_else(PoisonError::into_inner);
        classes.values().map(|c| c.ended[cause as usize].get()).sum()
    }

    /// How often the threshold decided what, by the decision's name.
    pub fn decisions(&self) -> [(&'static str, u64); Decision::COUNT] {
        Decision::ALL.map(|decision| (decision.name(), self.decisions[decision as usize].get()))
    }

    /// Requests that wait in the proxy's own queue.
    pub fn waiting(&self) -> i64 {
        self.waiting.get()
    }

    /// All figures in the text form of OpenMetrics, which Prometheus reads.
    pub fn openmetrics(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = prometheus_client::encoding::text::encode(&mut text, &self.registry);
        text
    }

    /// All figures under the names that the operators use.
    pub fn report(&self) -> Value {
        let classes = self.classes.lock().unwrap_or_else(PoisonError::into_inner);
        let ended = |stat: &str| {
            let of = |c: &Counts| {
                let causes = Cause::ALL.into_iter().filter(|cause| cause.stats_key() == Some(stat));
                causes.map(|cause| c.ended[cause as usize].get()).sum::<u64>()
            };
            Value::Object(classes.iter().map(|(name, c)| (name.clone(), of(c).into())).collect())
        };
        let members = |avoided: bool| -> i64 {
            let counted =
                EndpointStatus::ALL.iter().zip(&self.standings).filter(|(s, _)| !avoided || s.is_avoided());
            counted.map(|(_, gauge)| gauge.get()).sum()
        };
        json!({
            "completed": ended("completed"),
            "rejected": ended("rejected"),
            "failed": ended("failed"),
            "upstream_requests": self.upstream_requests.get(),
            "pending": self.pending.get(),
            "members": members(false),
            "members_unavailable": members(true),
            "config_reloads": self.config_reloads.get(),
            "config_reload_errors": self.config_reload_errors.get(),
        })
    }
}

#[cfg(test)]
mod tests;
