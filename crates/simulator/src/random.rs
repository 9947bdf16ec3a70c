//! Random numbers: an independent stream for each purpose, and the ranges and distributions that are sampled.

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha12Rng;
use rand_distr::{Distribution as _, Exp1, LogNormal, StandardNormal};
use serde::Deserialize;

#[cfg(test)]
mod tests;

/// A fixed number, or two bounds between which a number is sampled uniformly.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(untagged)]
pub enum Range {
    /// Always the given number.
    Fixed(f64),
    /// A number between the lower and the upper bound.
    Between([f64; 2]),
}

impl Range {
    /// Returns the lower and the upper bound.
    pub fn bounds(self) -> (f64, f64) {
        match self {
            Range::Fixed(value) => (value, value),
            Range::Between([low, high]) => (low, high),
        }
    }
}

/// A stream of random numbers. The same seed and purpose yield the same stream on every machine.
#[derive(Clone, Debug)]
pub struct RandomStream(ChaCha12Rng);

impl RandomStream {
    /// Creates the stream for a purpose; streams for different purposes are independent.
    ///
    /// The name of the purpose determines the stream: renaming a purpose changes the values that a run samples.
    pub fn new(seed: u64, purpose: &str) -> Self {
        let mut generator = ChaCha12Rng::seed_from_u64(seed);
        generator.set_stream(leadrelay_core::names::hash_name(purpose));
        RandomStream(generator)
    }

    /// Samples a number uniformly from [0, 1).
    pub fn uniform(&mut self) -> f64 {
        self.0.random()
    }

    /// Returns true with the given probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.uniform() < probability
    }

    /// Samples an integer uniformly from those below `bound`; returns 0 if `bound` is 0.
    pub fn uniform_below(&mut self, bound: usize) -> usize {
        if bound == 0 { 0 } else { self.0.random_range(0..bound) }
    }

    /// Samples a number uniformly from a range.
    pub fn in_range(&mut self, range: Range) -> f64 {
        let (low, high) = range.bounds();
        low + (high - low) * self.uniform()
    }

    /// Samples the exponential distribution with mean 1.
    pub fn exponential(&mut self) -> f64 {
        Exp1.sample(&mut self.0)
    }

    /// Samples the normal distribution with mean 0 and standard deviation 1.
    pub fn normal(&mut self) -> f64 {
        StandardNormal.sample(&mut self.0)
    }

    /// Samples the lognormal distribution with mean 1 and the given coefficient of variation.
    pub fn lognormal(&mut self, variation: f64) -> f64 {
        let variance = (1.0 + variation * variation).ln();
        let distribution = LogNormal::new(-variance / 2.0, variance.sqrt());
        distribution.map_or(1.0, |distribution| distribution.sample(&mut self.0))
    }

    /// Samples a seed for another generator.
    pub fn seed(&mut self) -> u64 {
        self.0.random()
    }
}

/// The popularity of keys according to Zipf's law: the n-th key has weight 1/n^exponent.
#[derive(Clone, Debug)]
pub struct Zipf {
    cumulative: Vec<f64>,
}

impl Zipf {
    /// Creates the distribution for a number of keys.
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
        let position = random.uniform();
        let key = self.cumulative.partition_point(|weight| *weight < position);
        key.min(self.cumulative.len() - 1)
    }
}
