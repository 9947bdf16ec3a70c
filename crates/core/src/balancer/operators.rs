//! Operator actions on a running proxy: endpoint maintenance and reconfiguration.

use super::{Balancer, is_idempotent};
use crate::events::Reconfiguration;
use crate::ids::{EndpointId, Millis};
use crate::settings::Settings;

impl Balancer {
    /// Takes an endpoint out of service or puts it back. Repeating the same command has no further effect.
    pub(super) fn handle_maintenance(&mut self, now: Millis, id: EndpointId, enabled: bool) {
        if enabled {
            self.overrides.start_maintenance(id, now);
        } else {
            let keep_for = self.settings.limits.slow_start_window;
            if !self.overrides.end_maintenance(id, now, keep_for) {
                return;
            }
        }
        if let Some(endpoint) = self.endpoints.find(id) {
            let listed = self.endpoints[endpoint].listed.clone();
            self.apply_list(now, false, vec![listed]);
        }
    }

    /// Applies new settings, except those that need a restart: index and zone of this proxy, the number of proxies, and
    /// how endpoint lists and gossip arrive. A class starts with the statistics of the class that it inherits from.
    pub(super) fn reconfigure(&mut self, reconfiguration: Reconfiguration) {
        let Reconfiguration { settings, inherits_from, offered } = reconfiguration;
        let classes = &settings.classes;
        self.latency.reconfigure(classes, &inherits_from);
        self.request_costs.reconfigure(&inherits_from);
        self.client_timeouts.clear();
        self.outliers.reconfigure(&inherits_from);
        for entry in self.endpoints.iter_mut() {
            let refilled_at = entry.slow_start.refilled_at();
            entry.outlier.reconfigure(&inherits_from, refilled_at);
        }
        self.queues.reconfigure(classes.len());
        self.quotas.reconfigure(settings.tenants.len());
        self.has_idempotent_class =
            classes.iter().zip(&offered).any(|(class, &offered)| offered && is_idempotent(class));
        self.settings = Settings {
            proxy_index: self.settings.proxy_index,
            proxies: self.settings.proxies,
            zone: self.settings.zone,
            discovery: self.settings.discovery,
            notification_bounds: self.settings.notification_bounds,
            gossip_enabled: self.settings.gossip_enabled,
            ..settings
        };
    }

    /// The endpoints in maintenance.
    pub fn endpoints_in_maintenance(&self) -> Vec<EndpointId> {
        self.overrides.endpoints_in_maintenance()
    }

    /// Whether an operator has taken an endpoint out of service.
    pub fn is_in_maintenance(&self, id: EndpointId) -> bool {
        self.overrides.is_in_maintenance(id)
    }
}
