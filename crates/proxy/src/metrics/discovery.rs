//! Metrics of the endpoint list.

use leadrelay_core::{EndpointStatus, Gauges};
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::labels::{ByStatus, register_by_label};

/// Metrics of the endpoint list.
pub struct DiscoveryMetrics {
    /// Listed endpoints, indexed by status.
    endpoints: [Gauge; EndpointStatus::ALL.len()],
    /// 1 if requests may be sent by the current endpoint list, 0 while the list is stale.
    list_valid: Gauge,
}

impl DiscoveryMetrics {
    /// Registers these metrics.
    pub fn register(registry: &mut Registry) -> Self {
        let status_names = EndpointStatus::ALL.map(EndpointStatus::name);
        let help = "Listed backends, by how they are treated now";
        let endpoints = register_by_label::<ByStatus, Gauge, _>(registry, "members", help, status_names);
        let list_valid = Gauge::default();
        let help = "Whether requests may be sent by the server list that is held: 1, or 0 while it is stale";
        registry.register("list_valid", help, list_valid.clone());
        DiscoveryMetrics { endpoints, list_valid }
    }

    /// Sets the gauges to the values that the balancer reports.
    pub fn set(&self, gauges: &Gauges) {
        for (gauge, count) in self.endpoints.iter().zip(gauges.endpoints_by_status) {
            gauge.set(count as i64);
        }
        self.list_valid.set(i64::from(gauges.list_valid));
    }

    /// The number of listed endpoints.
    pub fn listed_count(&self) -> i64 {
        self.endpoints.iter().map(|gauge| gauge.get()).sum()
    }

    /// The number of listed endpoints to which the balancer sends no requests.
    pub fn unavailable_count(&self) -> i64 {
        let by_status = EndpointStatus::ALL.iter().zip(&self.endpoints);
        let unavailable = by_status.filter(|(status, _)| status.is_avoided());
        unavailable.map(|(_, gauge)| gauge.get()).sum()
    }
}
