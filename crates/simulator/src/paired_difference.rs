//! Compares two versions on the same workloads: differences paired by seed, and their significance.

use serde::Serialize;

use crate::random::RandomStream;

#[cfg(test)]
mod tests;

/// Number of resamples of the bootstrap.
const RESAMPLES: usize = 4000;
/// Fraction of the resampled medians outside of the interval at each end; the interval contains the other 95%.
const TAIL_FRACTION: f64 = 0.025;

/// One figure of two versions on the same workload.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pair {
    /// The figure of version A.
    pub a: f64,
    /// The figure of version B.
    pub b: f64,
}

/// Numbers of workloads on which B is ahead of A, behind A and equal to A.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(into = "[usize; 3]")]
pub struct Wins {
    /// Workloads on which the figure of B is greater.
    pub ahead: usize,
    /// Workloads on which the figure of B is less.
    pub behind: usize,
    /// Workloads on which both figures are equal.
    pub equal: usize,
}

impl From<Wins> for [usize; 3] {
    fn from(wins: Wins) -> Self {
        [wins.ahead, wins.behind, wins.equal]
    }
}

/// Statistics of the paired differences of one figure, B minus A.
#[derive(Clone, Debug, Serialize)]
pub struct PairedDifference {
    /// Median of the differences.
    pub median: f64,
    /// Lower bound of the interval that contains 95% of the medians of resampled differences (percentile bootstrap,
    /// Efron 1979).
    pub low: f64,
    /// Upper bound of the same interval.
    pub high: f64,
    /// Numbers of workloads on which each version is ahead.
    pub wins: Wins,
}

impl PairedDifference {
    /// Computes the statistics of some pairs, with resampling seeded by `seed`; `None` without pairs.
    pub fn new(pairs: &[Pair], seed: u64) -> Option<Self> {
        if pairs.is_empty() {
            return None;
        }
        let differences: Vec<f64> = pairs.iter().map(|pair| pair.b - pair.a).collect();
        let medians = resampled_medians(&differences, seed);
        let quantile = |fraction: f64| medians[((RESAMPLES - 1) as f64 * fraction).round() as usize];
        Some(PairedDifference {
            median: median(differences.clone()),
            low: quantile(TAIL_FRACTION),
            high: quantile(1.0 - TAIL_FRACTION),
            wins: Wins {
                ahead: differences.iter().filter(|difference| **difference > 0.0).count(),
                behind: differences.iter().filter(|difference| **difference < 0.0).count(),
                equal: differences.iter().filter(|difference| **difference == 0.0).count(),
            },
        })
    }

    /// Whether the interval does not contain 0.
    pub fn is_significant(&self) -> bool {
        self.low > 0.0 || self.high < 0.0
    }
}

/// Medians of [`RESAMPLES`] samples with replacement, in ascending order.
fn resampled_medians(differences: &[f64], seed: u64) -> Vec<f64> {
    let mut random = RandomStream::new(seed, "bootstrap");
    let count = differences.len();
    let mut resample = || (0..count).map(|_| differences[random.uniform_below(count)]).collect();
    let mut medians: Vec<f64> = (0..RESAMPLES).map(|_| median(resample())).collect();
    medians.sort_by(f64::total_cmp);
    medians
}

/// The median of some values: the middle one, or the mean of the two in the middle.
pub fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    let middle = values.len() / 2;
    if values.len() % 2 == 1 { values[middle] } else { (values[middle - 1] + values[middle]) / 2.0 }
}
