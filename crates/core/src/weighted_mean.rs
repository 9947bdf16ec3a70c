//! Weighted running means.

/// A running mean and the weight of the samples that it is based on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WeightedMean {
    /// The mean.
    pub value: f64,
    /// The number of samples that the mean represents, up to the maximum given to `add`.
    pub weight: f64,
}

impl WeightedMean {
    /// Creates a mean with this value and weight.
    pub const fn new(value: f64, weight: f64) -> Self {
        WeightedMean { value, weight }
    }

    /// Creates an initial guess, which is replaced by the first sample.
    pub const fn guess(value: f64) -> Self {
        WeightedMean { value, weight: 0.0 }
    }

    /// Adds a sample; the mean covers about the last `max_weight` samples.
    pub fn add(&mut self, sample: f64, max_weight: f64) {
        self.weight = (self.weight + 1.0).min(max_weight);
        self.value += (sample - self.value) / self.weight;
    }

    /// Whether the mean is positive, finite and based on a sample.
    pub fn is_usable(&self) -> bool {
        self.value.is_finite() && self.value > 0.0 && self.weight.is_finite() && self.weight > 0.0
    }
}
