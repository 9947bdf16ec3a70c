//! Two versions on the same workloads: differences paired by seed, and whether they are significant.

use serde::Serialize;

use crate::random::RandomStream;

#[cfg(test)]
mod tests;

/// Resamples of the bootstrap.
const RESAMPLES: usize = 4000;
/// What the interval leaves out at each end: it holds 95%.
const TAIL: f64 = 0.025;

/// One figure of two versions on the same workload.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pair {
    /// Of version A.
    pub a: f64,
    /// Of version B.
    pub b: f64,
}

/// On how many workloads B is ahead, behind, and equal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(into = "[usize; 3]")]
pub struct Wins {
    /// B is greater.
    pub ahead: usize,
    /// B is less.
    pub behind: usize,
    /// Both are equal.
    pub equal: usize,
}

impl From<Wins> for [usize; 3] {
    fn from(wins: Wins) -> Self {
        [wins.ahead, wins.behind, wins.equal]
    }
}

/// Paired differences of one figure, B less A.
#[derive(Clone, Debug, Serialize)]
pub struct PairedDifference {
    /// Their median.
    pub median: f64,
    /// Lower bound of the interval that holds 95% of the medians of resampled differences (percentile bootstrap, Efron
    /// 1979).
    pub low: f64,
    /// Its upper bound.
    pub high: f64,
    /// How often which version is ahead.
    pub wins: Wins,
}

impl PairedDifference {
    /// Of these pairs, by resampling from `seed`; `None` without pairs.
    pub fn new(pairs: &[Pair], seed: u64) -> Option<Self> {
        if pairs.is_empty() {
            return None;
        }
        let differences: Vec<f64> = pairs.iter().map(|pair| pair.b - pair.a).collect();
        let medians = resampled_medians(&differences, seed);
        let quantile = |fraction: f64| medians[((RESAMPLES - 1) as f64 * fraction).round() as usize];
        Some(PairedDifference {
            median: median(differences.clone()),
            low: quantile(TAIL),
            high: quantile(1.0 - TAIL),
            wins: Wins {
                ahead: differences.iter().filter(|difference| **difference > 0.0).count(),
                behind: differences.iter().filter(|difference| **difference < 0.0).count(),
                equal: differences.iter().filter(|difference| **difference == 0.0).count(),
            },
        })
    }

    /// Whether the interval leaves out 0.
    pub fn is_significant(&self) -> bool {
        self.low > 0.0 || self.high < 0.0
    }
}

/// Medians of samples with replacement, in ascending order.
fn resampled_medians(differences: &[f64], seed: u64) -> Vec<f64> {
    let mut random = RandomStream::new(seed, "bootstrap");
    let count = differences.len();
    let mut resample = || (0..count).map(|_| differences[random.uniform_below(count)]).collect();
    let mut medians: Vec<f64> = (0..RESAMPLES).map(|_| median(resample())).collect();
    medians.sort_by(f64::total_cmp);
    medians
}

/// The middle one of some values, or the mean of the two in the middle.
pub fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    let middle = values.len() / 2;
    if values.len() % 2 == 1 { values[middle] } else { (values[middle - 1] + values[middle]) / 2.0 }
}
