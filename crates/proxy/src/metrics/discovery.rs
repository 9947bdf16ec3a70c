//! Metrics of the endpoint list.

use leadrelay_core::{EndpointStatus, Gauges};
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::labels::{ByStatus, register_by_label};

/// Metrics of the endpoint list.
pub struct DiscoveryMetrics {
    endpoints: [Gauge; EndpointStatus::ALL.len()],
    list_valid: Gauge,
}

impl DiscoveryMetrics {
    /// Registers them.
    pub fn register(registry: &mut Registry) -> Self {
        let names = EndpointStatus::ALL.map(EndpointStatus::name);
        let help = "Listed backends, by how they are treated now";
        let endpoints = register_by_label::<ByStatus, Gauge, _>(registry, "members", help, names);
        let list_valid = Gauge::default();
        let help = "Whether requests may be sent by the server list that is held: 1, or 0 while it is stale";
        registry.register("list_valid", help, list_valid.clone());
        DiscoveryMetrics { endpoints, list_valid }
    }

    /// Sets the gauges.
    pub fn set(&self, gauges: &Gauges) {
        for (gauge, count) in self.endpoints.iter().zip(gauges.endpoints_by_status) {
            gauge.set(count as i64);
        }
        self.list_valid.set(i64::from(gauges.list_valid));
    }

    /// How many endpoints are listed.
    pub fn listed(&self) -> i64 {
        self.endpoints.iter().map(|gauge| gauge.get()).sum()
    }

    /// How many of them get no requests.
    pub fn avoided(&self) -> i64 {
        let by_status = EndpointStatus::ALL.iter().zip(&self.endpoints);
        let avoided = by_status.filter(|(status, _)| status.is_avoided());
        avoided.map(|(_, gauge)| gauge.get()).sum()
    }
}
