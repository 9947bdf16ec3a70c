//! Metrics of the connections of clients and to upstreams.

use std::sync::atomic::AtomicI64;

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::labels::{BySide, register_by_label, register_by_reason};
use crate::close_reason::{BackendCloseReason, ClientCloseReason};

/// Metrics of the connections of clients and to upstreams.
pub struct ConnectionMetrics {
    /// Connections opened to upstreams since the start of the process.
    pub opened: Counter,
    /// Open connections of clients.
    clients: Gauge<i64, AtomicI64>,
    /// Open connections to upstreams.
    upstreams: Gauge<i64, AtomicI64>,
    /// Closed connections of clients, indexed by reason.
    clients_closed: [Counter; ClientCloseReason::ALL.len()],
    /// Closed connections to upstreams, indexed by reason.
    upstreams_closed: [Counter; BackendCloseReason::ALL.len()],
}

impl ConnectionMetrics {
    /// Registers these metrics.
    pub fn register(registry: &mut Registry) -> Self {
        let opened = Counter::default();
        registry.register("backend_dials", "Connections opened to backends", opened.clone());
        let sides = ["clients", "backends"];
        let [clients, upstreams] = register_by_label::<BySide, Gauge<i64, AtomicI64>, _>(
            registry,
            "connections",
            "Open connections",
            sides,
        );
        let reasons = ClientCloseReason::ALL.map(ClientCloseReason::name);
        let help = "Closed connections of clients";
        let clients_closed = register_by_reason(registry, "client_connections_closed", help, reasons);
        let reasons = BackendCloseReason::ALL.map(BackendCloseReason::name);
        let help = "Closed connections to backends";
        let upstreams_closed = register_by_reason(registry, "backend_connections_closed", help, reasons);
        ConnectionMetrics { opened, clients, upstreams, clients_closed, upstreams_closed }
    }

    /// Sets the numbers of open connections of clients and to upstreams.
    pub fn set_open(&self, clients: usize, upstreams: usize) {
        self.clients.set(clients as i64);
        self.upstreams.set(upstreams as i64);
    }

    /// Counts a closed connection of a client.
    pub fn client_closed(&self, reason: ClientCloseReason) {
        self.clients_closed[reason as usize].inc();
    }

    /// Counts a closed connection to an upstream.
    pub fn upstream_closed(&self, reason: BackendCloseReason) {
        self.upstreams_closed[reason as usize].inc();
    }
}
