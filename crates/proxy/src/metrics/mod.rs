//! All metrics of a proxy. Any part records them, and any thread reads them without waiting for another.
//!
//! Each module below registers the metrics of one subject. [`Metrics`] puts them together and writes them as OpenMetrics
//! and as the operators' `/stats`.

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

/// Prefix of all names.
const PREFIX: &str = "leadrelay";

/// Counts from the start of the process, and present values.
pub struct Metrics {
    registry: Registry,
    requests: RequestMetrics,
    attempts: AttemptMetrics,
    connections: ConnectionMetrics,
    discovery: DiscoveryMetrics,
    dispatch: DispatchMetrics,
    invariants: InvariantMetrics,
    process: ProcessMetrics,
    /// Whether the process can serve.
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
    /// Shows a class before its first request has ended.
    pub fn show_class(&self, name: &str) {
        self.requests.class(name);
    }

    /// Counts a request as pending whose last byte arrived at `arrived_at`.
    pub fn start_request(&self, class: &str, arrived_at: Instant) -> RequestTicket {
        RequestTicket::new(&self.requests, class, arrived_at)
    }

    /// Counts a request that the balancer has rejected.
    pub fn request_rejected(&self, reason: RejectionReason) {
        self.requests.rejected(reason);
    }

    /// Counts an attempt that has ended.
    pub fn attempt_ended(&self, outcome: Outcome, latency: Millis) {
        self.attempts.ended(outcome, latency);
    }

    /// Counts an attempt whose request was written completely.
    pub fn attempt_written(&self) {
        self.attempts.written.inc();
    }

    /// Counts an attempt that was denied before its first byte was written.
    pub fn denied(&self, denial: Denial) {
        self.attempts.denied(denial);
    }

    /// Counts a retry, by how the attempt before it ended.
    pub fn attempt_retried(&self, previous: Outcome) {
        self.attempts.retried(previous);
    }

    /// Counts a connection opened to an upstream.
    pub fn upstream_connected(&self) {
        self.connections.opened.inc();
    }

    /// How many connections have been opened to upstreams.
    pub fn upstream_connections_opened(&self) -> u64 {
        self.connections.opened.get()
    }

    /// Sets how many connections are open.
    pub fn connected(&self, clients: usize, upstreams: usize) {
        self.connections.set_open(clients, upstreams);
    }

    /// Counts a closed connection of a client.
    pub fn client_closed(&self, reason: ClientCloseReason) {
        self.connections.client_closed(reason);
    }

    /// Counts a closed connection to an upstream.
    pub fn backend_closed(&self, reason: BackendCloseReason) {
        self.connections.upstream_closed(reason);
    }

    /// Counts and logs a violation of an invariant at a socket.
    pub fn violated(&self, invariant: Invariant, request: &str) {
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

    /// Sets what the balancer reports.
    pub fn set_gauges(&self, gauges: &Gauges) {
        self.discovery.set(gauges);
        self.dispatch.set(gauges);
        self.invariants.set(gauges);
    }

    /// How many requests have ended for a cause, over all classes.
    pub fn ended(&self, cause: Cause) -> u64 {
        self.requests.classes().values().map(|class| class.ended(cause)).sum()
    }

    /// How often each decision was made, by its name.
    pub fn decisions(&self) -> [(&'static str, u64); ThresholdDecision::COUNT] {
        self.dispatch.decisions()
    }

    /// How many requests are queued.
    pub fn waiting(&self) -> i64 {
        self.dispatch.waiting()
    }

    /// All metrics in the text form of OpenMetrics.
    pub fn openmetrics(&self) -> String {
        let mut text = String::new();
        let _ = prometheus_client::encoding::text::encode(&mut text, &self.registry); // a string takes everything
        text
    }

    /// The figures of `/stats`, under the names that the operators use.
    pub fn stats(&self) -> Value {
        json!({
            "completed": self.ended_by_class("completed"),
            "rejected": self.ended_by_class("rejected"),
            "failed": self.ended_by_class("failed"),
            "upstream_requests": self.attempts.written.get(),
            "pending": self.requests.pending.get(),
            "members": self.discovery.listed(),
            "members_unavailable": self.discovery.avoided(),
            "config_reloads": self.process.config_reloads.get(),
            "config_reload_errors": self.process.config_reload_errors.get(),
        })
    }

    /// Requests that have ended for the causes of one figure, by class.
    fn ended_by_class(&self, figure: &str) -> Value {
        let ended = |class: &ClassMetrics| -> u64 {
            let causes = Cause::ALL.into_iter().filter(|cause| cause.stats_key() == Some(figure));
            causes.map(|cause| class.ended(cause)).sum()
        };
        let classes = self.requests.classes();
        Value::Object(classes.iter().map(|(name, class)| (name.clone(), ended(class).into())).collect())
    }
}

#[cfg(test)]
mod tests;
