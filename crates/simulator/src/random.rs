//! Randomness: ranges from which a workload is sampled, and an independent stream for each purpose.

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha12Rng;
use rand_distr::{Distribution as _, Exp1, LogNormal, StandardNormal};
use serde::Deserialize;

#[cfg(test)]
mod tests;

/// A fixed number, or two between which one is sampled uniformly.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(untagged)]
pub enum Range {
    /// Always this.
    Fixed(f64),
    /// Anything from the first to the second.
    Between([f64; 2]),
}

impl Range {
    /// Its bounds.
    pub fn bounds(self) -> (f64, f64) {
        match self {
            Range::Fixed(value) => (value, value),
            Range::Between([low, high]) => (low, high),
        }
    }
}

/// A stream of random numbers. The same seed and purpose give the same stream on every machine.
#[derive(Clone, Debug)]
pub struct RandomStream(ChaCha12Rng);

impl RandomStream {
    /// The stream of a purpose; purposes with different names are independent.
    ///
    /// A purpose's name is part of the seed: with another name a run samples other values.
    pub fn new(seed: u64, purpose: &str) -> Self {
        let mut generator = ChaCha12Rng::seed_from_u64(seed);
        generator.set_stream(leadrelay_core::names::hash_name(purpose));
        RandomStream(generator)
    }

    /// Uniformly in [0, 1).
    pub fn unit(&mut self) -> f64 {
        self.0.random()
    }

    /// True with this probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.unit() < probability
    }

    /// A whole number below `bound`; 0 if `bound` is 0.
    pub fn below(&mut self, bound: usize) -> usize {
        if bound == 0 { 0 } else { self.0.random_range(0..bound) }
    }

    /// Uniformly in a range.
    pub fn in_range(&mut self, range: Range) -> f64 {
        let (low, high) = range.bounds();
        low + (high - low) * self.unit()
    }

    /// Exponential with mean 1.
    pub fn exponential(&mut self) -> f64 {
        Exp1.sample(&mut self.0)
    }

    /// Normal with mean 0 and deviation 1.
    pub fn normal(&mut self) -> f64 {
        StandardNormal.sample(&mut self.0)
    }

    /// Lognormal with mean 1 and this coefficient of variation.
    pub fn lognormal(&mut self, variation: f64) -> f64 {
        let variance = (1.0 + variation * variation).ln();
        let distribution = LogNormal::new(-variance / 2.0, variance.sqrt());
        distribution.map_or(1.0, |distribution| distribution.sample(&mut self.0))
    }

    /// The seed of another generator.
    pub fn seed(&mut self) -> u64 {
        self.0.random()
    }
}

/// The popularity of keys by Zipf's law: the n-th has weight 1/n^exponent.
#[derive(Clone, Debug)]
pub struct Zipf {
    cumulative: Vec<f64>,
}

impl Zipf {
    /// For that many keys.
    pub fn new(keys: usize, exponent: f64) -> Self {
        let mut cumulative = Vec::with_capacity(keys.max(1));
        let mut sum = 0.0;
        for rank in 1..=keys.max(1) {
            sum += (rank as f64).powf(-exponent);
            cumulative.push(sum);
        }
        for weight in &mut cumulative {
            *weight /= sum;
        }
        Zipf { cumulative }
    }

    /// Samples a key, counted from 0.
    pub fn sample(&self, random: &mut RandomStream) -> usize {
        let position = random.unit();
        let key = self.cumulative.partition_point(|weight| *weight < position);
        key.min(self.cumulative.len() - 1)
    }
}
