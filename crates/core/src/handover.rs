//! What a successor takes over. Times are in ms.
use crate::interface::*;
use crate::records::Kind;
use crate::state::Balancer;

impl Balancer {
    /// What a successor takes over.
    pub fn learnt(&self) -> Learnt {
        let listed = self.servers.iter().filter(|s| s.told.is_none());
        Learnt {
            servers: listed.map(|s| (s.info.id, s.slow)).collect(),
            classes: self.class_ms.clone(),
            kinds: self.kinds.iter().map(|k| (k.slow, k.calm, k.throttle)).collect(),
            back: self.overlay.back.iter().map(|(id, (away, back))| (*id, *away, *back)).collect(),
        }
    }

    /// Takes over what a predecessor has learnt; what it knew nothing of stays as it is. The predecessor still
    /// spends its budgets for cold servers: those here begin empty.
    pub fn resume(&mut self, learnt: Learnt) {
        self.overlay.back = learnt.back.into_iter().map(|(id, away, back)| (id, (away, back))).collect();
        for (id, slow) in learnt.servers.into_iter().filter(|s| known(s.1)) {
            if let Some(&k) = self.index.get(&id) {
                self.servers[k].slow = slow;
            }
        }
        self.servers.iter_mut().for_each(|s| s.tokens = 0.0);
        for (own, mean) in self.class_ms.iter_mut().zip(learnt.classes).filter(|(_, m)| known(*m)) {
            *own = mean;
        }
        let kinds = self.kinds.len().max(learnt.kinds.len());
        self.kinds.resize_with(kinds, Kind::default);
        for (own, (slow, calm, throttle)) in self.kinds.iter_mut().zip(learnt.kinds) {
            if known(slow) && calm > 0.0 && throttle > 0.0 {
                (own.slow, own.calm, own.throttle) = (slow, calm, throttle.min(1.0));
                own.core = own.calm;
            }
        }
        self.mean = self.mean_latency();
    }
}

/// Whether a mean that was handed on tells anything.
fn known((mean, weight): Mean) -> bool {
    mean.is_finite() && mean > 0.0 && weight.is_finite() && weight > 0.0
}
