//! Metrics of connections.

use std::sync::atomic::AtomicI64;

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::labels::{BySide, register_by_label, register_by_reason};
use crate::close_reason::{BackendCloseReason, ClientCloseReason};

/// Metrics of connections.
pub struct ConnectionMetrics {
    /// Connections opened to upstreams.
    pub opened: Counter,
    clients: Gauge<i64, AtomicI64>,
    upstreams: Gauge<i64, AtomicI64>,
    clients_closed: [Counter; ClientCloseReason::ALL.len()],
    upstreams_closed: [Counter; BackendCloseReason::ALL.len()],
}

impl ConnectionMetrics {
    /// Registers them.
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

    /// Sets how many connections are open.
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
