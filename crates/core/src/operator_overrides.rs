//! What operators have said of endpoints and of this proxy; it overrides what the list says.

use rustc_hash::FxHashMap;

use crate::endpoint::Endpoint;
use crate::ids::{EndpointId, Millis};
use crate::learned_state::MaintenanceReturn;

/// The time that an endpoint spent in maintenance.
struct MaintenancePeriod {
    out_at: Millis,
    back_at: Millis,
}

/// What operators have said. It is kept by id beside the list, so that neither a list nor an endpoint that leaves and
/// returns lifts it.
#[derive(Default)]
pub(crate) struct OperatorOverrides {
    /// Endpoints in maintenance, and since when.
    in_maintenance: FxHashMap<EndpointId, Millis>,
    /// Endpoints that are back from maintenance.
    returned: FxHashMap<EndpointId, MaintenancePeriod>,
    /// Another process uses this proxy's part of all capacity too.
    pub overlapping_process: bool,
    /// This proxy sends its clients elsewhere.
    pub draining: bool,
}

impl OperatorOverrides {
    /// Whether an operator has taken an endpoint out of service.
    pub fn is_in_maintenance(&self, id: EndpointId) -> bool {
        self.in_maintenance.contains_key(&id)
    }

    /// Endpoints in maintenance.
    pub fn endpoints_in_maintenance(&self) -> Vec<EndpointId> {
        self.in_maintenance.keys().copied().collect()
    }

    /// Takes an endpoint out of service; however often that is said, the first time counts.
    pub fn start_maintenance(&mut self, id: EndpointId, now: Millis) {
        self.in_maintenance.entry(id).or_insert(now);
    }

    /// Puts an endpoint back into service; whether it was out of it. Returns from maintenance are kept for
    /// `keep_for`: after it the endpoint is warm.
    pub fn end_maintenance(&mut self, id: EndpointId, now: Millis, keep_for: Millis) -> bool {
        let Some(out_at) = self.in_maintenance.remove(&id) else { return false };
        self.returned.retain(|_, period| now - period.back_at < keep_for);
        self.returned.insert(id, MaintenancePeriod { out_at, back_at: now });
        true
    }

    /// When an endpoint last started. What comes back from maintenance was most likely restarted there, and the list
    /// may say so only later: until it does, the return counts as the start.
    pub fn started_at(&mut self, listed: &Endpoint) -> Option<Millis> {
        let Some(period) = self.returned.get(&listed.id) else { return listed.started_at };
        if listed.started_at.is_none_or(|started_at| started_at < period.out_at) {
            return Some(period.back_at);
        }
        self.returned.remove(&listed.id);
        listed.started_at
    }

    /// What a successor takes over.
    pub fn maintenance_returns(&self) -> Vec<MaintenanceReturn> {
        let returned = |(id, period): (&EndpointId, &MaintenancePeriod)| MaintenanceReturn {
            endpoint: *id,
            out_at: period.out_at,
            back_at: period.back_at,
        };
        self.returned.iter().map(returned).collect()
    }

    /// Takes over what a predecessor knew.
    pub fn restore_returns(&mut self, returns: Vec<MaintenanceReturn>) {
        let period = |returned: MaintenanceReturn| {
            let period = MaintenancePeriod { out_at: returned.out_at, back_at: returned.back_at };
            (returned.endpoint, period)
        };
        self.returned = returns.into_iter().map(period).collect();
    }
}
