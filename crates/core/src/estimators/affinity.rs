//! Estimates how much faster an endpoint serves a key that it has served before.

use super::{MAX_RELATIVE_SAMPLE, MIN_RELATIVE_LATENCY};
use crate::ids::Millis;
use crate::machine_class::CLASS_SAMPLES;
use crate::weighted_mean::WeightedMean;

/// The speed-up that is assumed until responses have been measured.
const INITIAL_SPEEDUP: f64 = 2.0;
/// Bounds of the speed-up.
const SPEEDUP: std::ops::RangeInclusive<f64> = 1.1..=8.0;

/// The speed-up of requests at the endpoint that their key has its affinity with: the ratio of the mean latency at
/// other endpoints to that at the affinity endpoint.
pub(crate) struct AffinitySpeedup {
    enabled: bool,
    /// Mean ratio of a latency to its expected value, at endpoints other than the affinity endpoint.
    at_other_endpoints: WeightedMean,
    /// Mean ratio of a latency to its expected value, at the affinity endpoint.
    at_affinity_endpoint: WeightedMean,
    speedup: f64,
}

impl AffinitySpeedup {
    pub fn new(enabled: bool) -> Self {
        AffinitySpeedup {
            enabled,
            at_other_endpoints: WeightedMean::new(1.0, 1.0),
            at_affinity_endpoint: WeightedMean::new(1.0, 1.0),
            speedup: if enabled { INITIAL_SPEEDUP } else { 1.0 },
        }
    }

    /// The factor by which an endpoint serves a key faster if it has served the key before.
    pub fn speedup(&self) -> f64 {
        self.speedup
    }

    /// Records the latency of a response. The latency expected without affinity is `relative_latency` (of the endpoint)
    /// times `class_latency`, divided by `slow_start_factor`.
    pub fn record(
        &mut self, latency: Millis, relative_latency: f64, class_latency: Millis, slow_start_factor: f64,
        at_affinity_endpoint: bool,
    ) {
        if !self.enabled {
            return;
        }
        let expected = relative_latency.max(MIN_RELATIVE_LATENCY) * class_latency;
        let sample = (latency * slow_start_factor / expected).min(MAX_RELATIVE_SAMPLE);
        let mean =
            if at_affinity_endpoint { &mut self.at_affinity_endpoint } else { &mut self.at_other_endpoints };
        mean.add(sample, CLASS_SAMPLES);
        let ratio = self.at_other_endpoints.value / self.at_affinity_endpoint.value.max(0.01);
        self.speedup = ratio.clamp(*SPEEDUP.start(), *SPEEDUP.end());
    }
}
