//! Chance: ranges from which a day is drawn, and independent streams for each purpose.

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha12Rng;
use rand_distr::{Distribution as _, Exp1, LogNormal, StandardNormal};
use serde::Deserialize;

/// One number, or two between which it is drawn evenly.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(untagged)]
pub enum Range {
    /// Always this.
    One(f64),
    /// Anything from the first to the second.
    Between([f64; 2]),
}

impl Range {
    /// Its bounds.
    pub fn bounds(self) -> (f64, f64) {
        match self {
            Range::One(x) => (x, x),
            Range::Between([low, high]) => (low, high),
        }
    }
}

/// A stream of chance. The same seed and purpose give the same stream on every machine.
#[derive(Clone, Debug)]
pub struct RandomStream(ChaCha12Rng);

impl RandomStream {
    /// The stream of a purpose; purposes with different names are independent.
    pub fn new(seed: u64, purpose: &str) -> Self {
        // FNV-1a: only to tell purposes apart, the generator mixes.
        let fold = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
        let stream = purpose.bytes().fold(0xcbf2_9ce4_8422_2325, fold);
        let mut rng = ChaCha12Rng::seed_from_u64(seed);
        rng.set_stream(stream);
        RandomStream(rng)
    }

    /// Evenly in [0, 1).
    pub fn unit(&mut self) -> f64 {
        self.0.random()
    }

    /// True with this chance.
    pub fn chance(&mut self, p: f64) -> bool {
        self.unit() < p
    }

    /// A whole number below `n`; 0 if `n` is 0.
    pub fn below(&mut self, n: usize) -> usize {
        if n == 0 { 0 } else { self.0.random_range(0..n) }
    }

    /// From a range.
    pub fn from(&mut self, range: Range) -> f64 {
        let (low, high) = range.bounds();
        low + (high - low) * self.unit()
    }

    /// Exponential with mean 1.
    pub fn exp(&mut self) -> f64 {
        Exp1.sample(&mut self.0)
    }

    /// Normal with mean 0 and deviation 1.
    pub fn normal(&mut self) -> f64 {
        StandardNormal.sample(&mut self.0)
    }

    /// Lognormal with mean 1 and this coefficient of variation.
    pub fn lognormal(&mut self, cv: f64) -> f64 {
        let sigma2 = (1.0 + cv * cv).ln();
        LogNormal::new(-sigma2 / 2.0, sigma2.sqrt()).map_or(1.0, |d| d.sample(&mut self.0))
    }

    /// A number for a seed of its own.
    pub fn seed(&mut self) -> u64 {
        self.0.random()
    }
}

/// The popularity of keys by Zipf's law: the k-th has weight 1/k^s.
#[derive(Clone, Debug)]
pub struct Zipf(Vec<f64>);

impl Zipf {
    /// For `n` keys.
    pub fn new(n: usize, s: f64) -> Self {
        let mut sum = 0.0;
        let mut up_to: Vec<f64> = (1..=n.max(1))
            .map(|k| {
                sum += (k as f64).powf(-s);
                sum
            })
            .collect();
        up_to.iter_mut().for_each(|x| *x /= sum);
        Zipf(up_to)
    }

    /// Draws a key, counted from 0.
    pub fn draw(&self, draw: &mut RandomStream) -> usize {
        let u = draw.unit();
        self.0.partition_point(|x| *x < u).min(self.0.len() - 1)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_seed_and_purpose_give_one_stream_and_others_give_others() {
        let of = |seed, purpose| {
            let mut draw = RandomStream::new(seed, purpose);
            [draw.unit(), draw.exp(), draw.normal()]
        };
        assert_eq!(of(1, "a"), of(1, "a"));
        assert_ne!(of(1, "a"), of(1, "b"));
        assert_ne!(of(1, "a"), of(2, "a"));
    }

    #[test]
    fn distributions_have_the_means_that_they_name() {
        let mut draw = RandomStream::new(3, "means");
        let mut mean = |f: &mut dyn FnMut(&mut RandomStream) -> f64| {
            (0..40_000).map(|_| f(&mut draw)).sum::<f64>() / 40_000.0
        };
        assert!((mean(&mut |d| d.exp()) - 1.0).abs() < 0.03);
        assert!((mean(&mut |d| d.lognormal(1.5)) - 1.0).abs() < 0.06);
        assert!((mean(&mut |d| d.from(Range::Between([2.0, 4.0]))) - 3.0).abs() < 0.03);
        let zipf = Zipf::new(100, 0.8);
        let first = mean(&mut |d| f64::from(u8::from(zipf.draw(d) == 0)));
        let expected = 1.0 / (1..=100).map(|k| f64::from(k).powf(-0.8)).sum::<f64>();
        assert!((first - expected).abs() < 0.01, "{first} {expected}");
    }
}
