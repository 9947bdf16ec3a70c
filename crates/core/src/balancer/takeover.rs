//! The learned state that a process hands over to its successor during an upgrade.

use super::Balancer;
use crate::learned_state::LearnedState;

impl Balancer {
    /// The learned state that a successor process takes over.
    pub fn learned_state(&self) -> LearnedState {
        let in_service = self.endpoints.in_service();
        LearnedState {
            endpoints: in_service.map(|entry| (entry.listed.id, entry.relative_latency)).collect(),
            classes: self.latency.learned_classes(),
            machine_classes: self.latency.learned_machine_classes(),
            maintenance_returns: self.overrides.maintenance_returns(),
        }
    }

    /// Restores the learned state of a predecessor process; estimates that it does not contain stay as they are. The
    /// slow-start budgets start empty, because the predecessor still spends its own.
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
            entry.slow_start.clear();
        }
        self.latency.restore(learned.classes, learned.machine_classes);
    }
}
