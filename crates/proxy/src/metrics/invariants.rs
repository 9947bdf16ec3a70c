//! Metrics of violated invariants.

use std::sync::atomic::Ordering::Relaxed;

use leadrelay_core::{Gauges, Invariant};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

use super::labels::{ByInvariant, StaticLabel};

/// Counts of violated invariants, by the layer that detected the violation.
pub struct InvariantMetrics {
    /// Decisions of the balancer that would have violated an invariant and were not carried out.
    decisions: [Counter; Invariant::COUNT],
    /// Violations detected at a socket.
    sockets: [Counter; Invariant::COUNT],
}

impl InvariantMetrics {
    /// Registers these metrics.
    pub fn register(registry: &mut Registry) -> Self {
        let violations = Family::<ByInvariant, Counter>::default();
        let help = "Violations of the proxy's own invariants, each a fault of the program, by the layer that saw them";
        registry.register("invariant_violations", help, violations.clone());
        let in_layer = |layer: &'static str| {
            Invariant::ALL.map(|invariant| {
                let labels =
                    ByInvariant { invariant: StaticLabel(invariant.name()), layer: StaticLabel(layer) };
                violations.get_or_create_owned(&labels)
            })
        };
        InvariantMetrics { decisions: in_layer("decision"), sockets: in_layer("socket") }
    }

    /// Sets the counters of the balancer's decisions to the values that the balancer reports.
    pub fn set(&self, gauges: &Gauges) {
        for (counter, invariant) in self.decisions.iter().zip(Invariant::ALL) {
            counter.inner().store(gauges.violations.count(invariant), Relaxed);
        }
    }

    /// Counts a violation that was detected at a socket.
    pub fn violated(&self, invariant: Invariant) {
        self.sockets[invariant as usize].inc();
    }
}
