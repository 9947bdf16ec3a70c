//! Operator commands for endpoints and for this proxy, which take precedence over the endpoint list.

use rustc_hash::FxHashMap;

use crate::endpoint::Endpoint;
use crate::ids::{EndpointId, Millis};
use crate::learned_state::MaintenanceReturn;

/// The period that an endpoint spent in maintenance.
struct MaintenancePeriod {
    out_at: Millis,
    back_at: Millis,
}

/// The state set by operators. It is stored by endpoint id, separately from the list, so that it persists when the list
/// is updated and when an endpoint leaves the list and returns.
#[derive(Default)]
pub(crate) struct OperatorOverrides {
    /// Endpoints in maintenance, with the time at which maintenance started.
    in_maintenance: FxHashMap<EndpointId, Millis>,
    /// Endpoints that have returned from maintenance.
    returned: FxHashMap<EndpointId, MaintenancePeriod>,
    /// Whether another process uses this proxy's share of the capacity too, during an upgrade.
    pub overlapping_process: bool,
    /// Whether this proxy is draining and directs its clients to other proxies.
    pub draining: bool,
}

impl OperatorOverrides {
    /// Whether an operator has taken an endpoint out of service.
    pub fn is_in_maintenance(&self, id: EndpointId) -> bool {
        self.in_maintenance.contains_key(&id)
    }

    /// The endpoints in maintenance.
    pub fn endpoints_in_maintenance(&self) -> Vec<EndpointId> {
        self.in_maintenance.keys().copied().collect()
    }

    /// Takes an endpoint out of service. If it is in maintenance already, the earlier start time is kept.
    pub fn start_maintenance(&mut self, id: EndpointId, now: Millis) {
        self.in_maintenance.entry(id).or_insert(now);
    }

    /// Puts an endpoint back into service; returns whether it was in maintenance. Maintenance periods that ended more
    /// than `keep_for` ago are dropped: those endpoints have completed their slow start.
    pub fn end_maintenance(&mut self, id: EndpointId, now: Millis, keep_for: Millis) -> bool {
        let Some(out_at) = self.in_maintenance.remove(&id) else { return false };
        self.returned.retain(|_, period| now - period.back_at < keep_for);
        self.returned.insert(id, MaintenancePeriod { out_at, back_at: now });
        true
    }

    /// When an endpoint last started. An endpoint that returns from maintenance was most likely restarted there, and
    /// the list may show the new start time only later. Until it does, the time of the return counts as the start.
    pub fn effective_start(&mut self, listed: &Endpoint) -> Option<Millis> {
        let Some(period) = self.returned.get(&listed.id) else { return listed.started_at };
        if listed.started_at.is_none_or(|started_at| started_at < period.out_at) {
            return Some(period.back_at);
        }
        self.returned.remove(&listed.id);
        listed.started_at
    }

    /// The returns from maintenance, for a successor process.
    pub fn maintenance_returns(&self) -> Vec<MaintenanceReturn> {
        let returned = |(id, period): (&EndpointId, &MaintenancePeriod)| MaintenanceReturn {
            endpoint: *id,
            out_at: period.out_at,
            back_at: period.back_at,
        };
        self.returned.iter().map(returned).collect()
    }

    /// Restores the returns from maintenance that a predecessor process recorded.
    pub fn restore_returns(&mut self, returns: Vec<MaintenanceReturn>) {
        let period = |returned: MaintenanceReturn| {
            let period = MaintenancePeriod { out_at: returned.out_at, back_at: returned.back_at };
            (returned.endpoint, period)
        };
        self.returned = returns.into_iter().map(period).collect();
    }
}
