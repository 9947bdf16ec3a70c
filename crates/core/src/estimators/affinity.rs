//! How much faster an endpoint serves a key that it has met before.

use super::{MAX_RELATIVE_SAMPLE, MIN_RELATIVE_LATENCY};
use crate::ids::Millis;
use crate::machine_class::CLASS_SAMPLES;
use crate::weighted_mean::WeightedMean;

/// The speed-up until responses have shown another one.
const INITIAL_SPEEDUP: f64 = 2.0;
/// Bounds of the speed-up.
const SPEEDUP: std::ops::RangeInclusive<f64> = 1.1..=8.0;

/// The ratio of latencies away from the endpoint that a key has its affinity with, and there.
pub(crate) struct AffinitySpeedup {
    enabled: bool,
    elsewhere: WeightedMean,
    at_affinity_endpoint: WeightedMean,
    speedup: f64,
}

impl AffinitySpeedup {
    pub fn new(enabled: bool) -> Self {
        AffinitySpeedup {
            enabled,
            elsewhere: WeightedMean::new(1.0, 1.0),
            at_affinity_endpoint: WeightedMean::new(1.0, 1.0),
            speedup: if enabled { INITIAL_SPEEDUP } else { 1.0 },
        }
    }

    /// By which factor an endpoint is faster for a key that it has met.
    pub fn speedup(&self) -> f64 {
        self.speedup
    }

    /// Takes in a response whose latency without affinity was expected to be `expected`.
    pub fn record(
        &mut self, latency: Millis, relative_latency: f64, class_latency: Millis, slow_start_factor: f64,
        at_affinity_endpoint: bool,
    ) {
        if !self.enabled {
            return;
        }
        let expected = relative_latency.max(MIN_RELATIVE_LATENCY) * class_latency;
        let sample = (latency * slow_start_factor / expected).min(MAX_RELATIVE_SAMPLE);
        let mean = if at_affinity_endpoint { &mut self.at_affinity_endpoint } else { &mut self.elsewhere };
        mean.add(sample, CLASS_SAMPLES);
        let ratio = self.elsewhere.value / self.at_affinity_endpoint.value.max(0.01);
        self.speedup = ratio.clamp(*SPEEDUP.start(), *SPEEDUP.end());
    }
}
