//! Estimates the cost of a request relative to the mean of its class.

use crate::ids::Millis;
use crate::settings::RequestClass;
use crate::weighted_mean::WeightedMean;

/// Number of requests over which the expected cost of a class is averaged.
const SAMPLES: f64 = 100.0;
/// Upper bound of the cost of a single request in the mean of its class, as a multiple of that mean.
const MAX_SAMPLE: f64 = 10.0;
/// Bounds of the relative cost of a request.
const RELATIVE_COST: std::ops::RangeInclusive<f64> = 0.05..=50.0;

/// The expected cost of a request and the latency objective that follows from it.
pub(crate) struct RequestCost {
    /// The cost of the request relative to the mean of its class.
    pub relative: f64,
    /// The duration within which a response earns the full weight.
    pub latency_objective: Millis,
}

/// The mean expected cost of each request class.
pub(crate) struct RequestCosts {
    by_class: Vec<WeightedMean>,
}

impl RequestCosts {
    pub fn new(classes: usize) -> Self {
        RequestCosts { by_class: vec![WeightedMean::guess(1.0); classes] }
    }

    /// Assesses a request by the expected cost that it states, if any, and updates the mean of its class.
    pub fn assess(
        &mut self, class_index: usize, class: &RequestClass, expected: Option<Millis>,
    ) -> RequestCost {
        let Some(expected) = expected.filter(|cost| cost.is_finite() && *cost > 0.0) else {
            return RequestCost { relative: 1.0, latency_objective: class.latency_objective };
        };
        let mean = &mut self.by_class[class_index];
        let sample = if mean.weight > 0.0 { expected.min(MAX_SAMPLE * mean.value) } else { expected };
        mean.add(sample, SAMPLES);
        let stretched = class.latency_objective + class.objective_stretch * expected;
        RequestCost {
            relative: (expected / mean.value).clamp(*RELATIVE_COST.start(), *RELATIVE_COST.end()),
            latency_objective: stretched.min(class.deadline),
        }
    }

    /// Switches to other request classes. Each one inherits the mean of the old class in `inherits_from`, if any.
    pub fn reconfigure(&mut self, inherits_from: &[Option<usize>]) {
        self.by_class =
            crate::reconfigure::inherit(&self.by_class, inherits_from, |_| WeightedMean::guess(1.0));
    }
}
