//! What a successor process takes over.

use super::Balancer;
use crate::learned_state::LearnedState;

impl Balancer {
    /// What a successor takes over.
    pub fn learned_state(&self) -> LearnedState {
        let in_service = self.endpoints.in_service();
        LearnedState {
            endpoints: in_service.map(|entry| (entry.listed.id, entry.relative_latency)).collect(),
            classes: self.latency.learned_classes(),
            machine_classes: self.latency.learned_machine_classes(),
            maintenance_returns: self.overrides.maintenance_returns(),
        }
    }

    /// Takes over what a predecessor has learned; what it knew nothing of stays as it is. The predecessor still spends
    /// its budgets for endpoints in slow start: those here start empty.
    pub fn restore(&mut self, learned: LearnedState) {
        self.overrides.restore_returns(learned.maintenance_returns);
        for (id, relative_latency) in learned.endpoints {
            if let Some(endpoint) = self.endpoints.find(id)
                && relative_latency.is_usable()
            {
                self.endpoints[endpoint].relative_latency = relative_latency;
            }
        }
        for entry in self.endpoints.iter_mut() {
            entry.slow_start.empty();
        }
        self.latency.restore(learned.classes, learned.machine_classes);
    }
}
