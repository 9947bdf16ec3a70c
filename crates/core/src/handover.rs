//! What a successor takes over. Times are in ms.
use crate::interface::*;
use crate::records::Kind;
use crate::state::Balancer;

impl Balancer {
    /// What a successor takes over.
    pub fn learned_state(&self) -> LearnedState {
        let listed = self.servers.iter().filter(|s| s.told.is_none());
        LearnedState {
            endpoints: listed.map(|s| (s.info.id, mean(s.slow))).collect(),
            classes: self.class_ms.iter().copied().map(mean).collect(),
            machine_classes: self
                .kinds
                .iter()
                .map(|k| MachineClassState {
                    relative_latency: mean(k.slow),
                    baseline: k.calm,
                    concurrency_factor: k.throttle,
                })
                .collect(),
            maintenance_returns: self
                .overlay
                .back
                .iter()
                .map(|(id, (away, back))| MaintenanceReturn { endpoint: *id, out_at: *away, back_at: *back })
                .collect(),
        }
    }

    /// Takes over what a predecessor has learnt; what it knew nothing of stays as it is. The predecessor still
    /// spends its budgets for cold servers: those here begin empty.
    pub fn restore(&mut self, learnt: LearnedState) {
        self.overlay.back =
            learnt.maintenance_returns.into_iter().map(|r| (r.endpoint, (r.out_at, r.back_at))).collect();
        for (id, slow) in learnt.endpoints.into_iter().filter(|s| s.1.is_usable()) {
            if let Some(&k) = self.index.get(&id) {
                self.servers[k].slow = (slow.value, slow.weight);
            }
        }
        self.servers.iter_mut().for_each(|s| s.tokens = 0.0);
        for (own, mean) in self.class_ms.iter_mut().zip(learnt.classes).filter(|(_, m)| m.is_usable()) {
            *own = (mean.value, mean.weight);
        }
        let kinds = self.kinds.len().max(learnt.machine_classes.len());
        self.kinds.resize_with(kinds, Kind::default);
        for (own, learnt) in self.kinds.iter_mut().zip(learnt.machine_classes) {
            let (slow, calm, throttle) =
                (learnt.relative_latency, learnt.baseline, learnt.concurrency_factor);
            if slow.is_usable() && calm > 0.0 && throttle > 0.0 {
                (own.slow, own.calm, own.throttle) = ((slow.value, slow.weight), calm, throttle.min(1.0));
                own.core = own.calm;
            }
        }
        self.mean = self.mean_latency();
    }
}

fn mean((value, weight): (f64, f64)) -> WeightedMean {
    WeightedMean { value, weight }
}
