//! All metrics of a proxy. Every part of the proxy records them, and any thread can read them without waiting for
//! another thread.
//!
//! Each submodule registers the metrics of one subject. [`Metrics`] combines them and renders them as OpenMetrics text
//! and as the JSON of the operators' `/stats`.

mod attempts;
mod connections;
mod discovery;
mod dispatch;
mod invariants;
mod labels;
mod process;
mod requests;
mod ticket;

use std::sync::atomic::AtomicBool;

use leadrelay_core::{Gauges, Invariant, Millis, Outcome, RejectionReason, ThresholdDecision};
use prometheus_client::registry::Registry;
use serde_json::{Value, json};
use tokio::time::Instant;
use tracing::error;

use crate::cause::Cause;
use crate::close_reason::{BackendCloseReason, ClientCloseReason};
use crate::denial::Denial;
use attempts::AttemptMetrics;
use connections::ConnectionMetrics;
use discovery::DiscoveryMetrics;
use dispatch::DispatchMetrics;
use invariants::InvariantMetrics;
use process::ProcessMetrics;
use requests::{ClassMetrics, RequestMetrics};
pub use ticket::RequestTicket;

/// Prefix of all metric names.
const PREFIX: &str = "leadrelay";

/// The metrics of a proxy: counters since the start of the process, and gauges of the current state.
pub struct Metrics {
    registry: Registry,
    requests: RequestMetrics,
    attempts: AttemptMetrics,
    connections: ConnectionMetrics,
    discovery: DiscoveryMetrics,
    dispatch: DispatchMetrics,
    invariants: InvariantMetrics,
    process: ProcessMetrics,
    /// Whether the process is ready to serve requests.
    pub ready: AtomicBool,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix(PREFIX);
        Metrics {
            requests: RequestMetrics::register(&mut registry),
            attempts: AttemptMetrics::register(&mut registry),
            connections: ConnectionMetrics::register(&mut registry),
            discovery: DiscoveryMetrics::register(&mut registry),
            dispatch: DispatchMetrics::register(&mut registry),
            invariants: InvariantMetrics::register(&mut registry),
            process: ProcessMetrics::register(&mut registry),
            registry,
            ready: AtomicBool::new(false),
        }
    }
}

impl Metrics {
    /// Registers the metrics of a request class, which are exported before the first request of the class has ended.
    pub fn register_class(&self, name: &str) {
        self.requests.class(name);
    }

    /// Counts a request whose last byte arrived at `arrived_at` as pending, until the ticket ends.
    pub fn start_request(&self, class: &str, arrived_at: Instant) -> RequestTicket {
        RequestTicket::new(&self.requests, class, arrived_at)
    }

    /// Counts a request that the balancer has rejected.
    pub fn request_rejected(&self, reason: RejectionReason) {
        self.requests.rejected(reason);
    }

    /// Counts an attempt that has ended. `latency` is recorded for served attempts only.
    pub fn attempt_ended(&self, outcome: Outcome, latency: Millis) {
        self.attempts.ended(outcome, latency);
    }

    /// Counts an attempt whose request was written completely to the upstream.
    pub fn attempt_written(&self) {
        self.attempts.written.inc();
    }

    /// Counts an attempt that was denied before its first byte was written.
    pub fn attempt_denied(&self, denial: Denial) {
        self.attempts.denied(denial);
    }

    /// Counts a retry by the outcome of the previous attempt.
    pub fn attempt_retried(&self, previous: Outcome) {
        self.attempts.retried(previous);
    }

    /// Counts a connection opened to an upstream.
    pub fn upstream_connected(&self) {
        self.connections.opened.inc();
    }

    /// The number of connections opened to upstreams since the start of the process.
    pub fn upstream_connections_opened(&self) -> u64 {
        self.connections.opened.get()
    }

    /// Sets the numbers of open connections of clients and to upstreams.
    pub fn set_open_connections(&self, clients: usize, upstreams: usize) {
        self.connections.set_open(clients, upstreams);
    }

    /// Counts a closed connection of a client.
    pub fn client_closed(&self, reason: ClientCloseReason) {
        self.connections.client_closed(reason);
    }

    /// Counts a closed connection to an upstream.
    pub fn upstream_closed(&self, reason: BackendCloseReason) {
        self.connections.upstream_closed(reason);
    }

    /// Counts and logs a violation of an invariant that was detected at a socket.
    pub fn invariant_violated(&self, invariant: Invariant, request: &str) {
        error!(invariant = invariant.name(), request, "an invariant is violated");
        self.invariants.violated(invariant);
    }

    /// Counts a configuration file that was applied.
    pub fn config_reloaded(&self) {
        self.process.config_reloads.inc();
    }

    /// Counts a configuration file that could not be applied.
    pub fn config_reload_failed(&self) {
        self.process.config_reload_errors.inc();
    }

    /// Sets all metrics that the balancer reports.
    pub fn set_gauges(&self, gauges: &Gauges) {
        self.discovery.set(gauges);
        self.dispatch.set(gauges);
        self.invariants.set(gauges);
    }

    /// The number of requests of all classes that have ended for a cause.
    pub fn requests_ended(&self, cause: Cause) -> u64 {
        self.requests.classes().values().map(|class| class.ended(cause)).sum()
    }

    /// The name of each decision, with how often the balancer has made it.
    pub fn decisions(&self) -> [(&'static str, u64); ThresholdDecision::COUNT] {
        self.dispatch.decisions()
    }

    /// The number of requests in the proxy's queue.
    pub fn requests_waiting(&self) -> i64 {
        self.dispatch.waiting()
    }

    /// Renders all metrics in the OpenMetrics text format.
    pub fn openmetrics(&self) -> String {
        let mut text = String::new();
        let _ = prometheus_client::encoding::text::encode(&mut text, &self.registry); // writing to a string can't fail
        text
    }

    /// The JSON of `/stats`, with the key names that operators use.
    pub fn stats(&self) -> Value {
        json!({
            "completed": self.ended_by_class("completed"),
            "rejected": self.ended_by_class("rejected"),
            "failed": self.ended_by_class("failed"),
            "upstream_requests": self.attempts.written.get(),
            "pending": self.requests.pending.get(),
            "members": self.discovery.listed_count(),
            "members_unavailable": self.discovery.unavailable_count(),
            "config_reloads": self.process.config_reloads.get(),
            "config_reload_errors": self.process.config_reload_errors.get(),
        })
    }

    /// For each class, the number of requests that have ended for a cause counted under one key of `/stats`.
    fn ended_by_class(&self, stats_key: &str) -> Value {
        let ended = |class: &ClassMetrics| -> u64 {
            let causes = Cause::ALL.into_iter().filter(|cause| cause.stats_key() == Some(stats_key));
            causes.map(|cause| class.ended(cause)).sum()
        };
        let classes = self.requests.classes();
        Value::Object(classes.iter().map(|(name, class)| (name.clone(), ended(class).into())).collect())
    }
}

#[cfg(test)]
mod tests;
