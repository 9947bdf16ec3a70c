//! Running means.

/// A running mean with the weight of the samples behind it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WeightedMean {
    /// The mean.
    pub value: f64,
    /// How many samples it stands for.
    pub weight: f64,
}

impl WeightedMean {
    /// A mean of that value and weight.
    pub const fn new(value: f64, weight: f64) -> Self {
        WeightedMean { value, weight }
    }

    /// A first guess, which the first sample replaces.
    pub const fn guess(value: f64) -> Self {
        WeightedMean { value, weight: 0.0 }
    }

    /// Adds a sample; the mean follows about the last `max_weight` of them.
    pub fn add(&mut self, sample: f64, max_weight: f64) {
        self.weight = (self.weight + 1.0).min(max_weight);
        self.value += (sample - self.value) / self.weight;
    }

    /// Whether the mean is positive, finite and rests on a sample.
    pub fn is_usable(&self) -> bool {
        self.value.is_finite() && self.value > 0.0 && self.weight.is_finite() && self.weight > 0.0
    }
}
