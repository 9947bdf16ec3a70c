//! Two versions on the same days: differences paired by seed, and whether they show anything.

use serde::Serialize;

use crate::random::RandomStream;

/// Resamples of the bootstrap.
const RESAMPLES: usize = 4000;
/// What an interval leaves out at each end.
const TAIL: f64 = 0.025;

/// Paired differences of one figure, B less A.
#[derive(Clone, Debug, Serialize)]
pub struct Difference {
    /// Their median.
    pub median: f64,
    /// The interval that holds 95% of the medians of resampled differences (percentile bootstrap, Efron 1979).
    pub low: f64,
    /// See there.
    pub high: f64,
    /// Days on which B is ahead, behind, and equal.
    pub wins: [usize; 3],
}

impl Difference {
    /// Of these pairs, by resampling from `seed`; `None` without pairs.
    pub fn of(pairs: &[(f64, f64)], seed: u64) -> Option<Self> {
        let differences: Vec<f64> = pairs.iter().map(|(a, b)| b - a).collect();
        let n = differences.len();
        if n == 0 {
            return None;
        }
        let mut draw = RandomStream::new(seed, "bootstrap");
        let mut medians: Vec<f64> =
            (0..RESAMPLES).map(|_| median((0..n).map(|_| differences[draw.below(n)]).collect())).collect();
        medians.sort_by(f64::total_cmp);
        let at = |part: f64| medians[((RESAMPLES - 1) as f64 * part).round() as usize];
        let count = |holds: &dyn Fn(f64) -> bool| differences.iter().filter(|d| holds(**d)).count();
        Some(Difference {
            median: median(differences.clone()),
            low: at(TAIL),
            high: at(1.0 - TAIL),
            wins: [count(&|d| d > 0.0), count(&|d| d < 0.0), count(&|d| d == 0.0)],
        })
    }

    /// Whether the interval leaves out 0.
    pub fn shows(&self) -> bool {
        self.low > 0.0 || self.high < 0.0
    }
}

/// The middle one, or the mean of the two in the middle.
pub fn median(mut all: Vec<f64>) -> f64 {
    all.sort_by(f64::total_cmp);
    let n = all.len();
    if n % 2 == 1 { all[n / 2] } else { (all[n / 2 - 1] + all[n / 2]) / 2.0 }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_shift_is_shown_and_noise_is_not() {
        let mut draw = RandomStream::new(1, "pairs");
        let mut pairs = |shift: f64| -> Vec<(f64, f64)> {
            let pair = |_| {
                let day = draw.unit();
                (day, day + shift + 0.01 * draw.normal())
            };
            (0..20).map(pair).collect()
        };
        let (none, some) = (Difference::of(&pairs(0.0), 1), Difference::of(&pairs(0.02), 1));
        let (none, some) = (none.expect("pairs"), some.expect("pairs"));
        assert!(!none.shows(), "{none:?}");
        assert!(some.shows() && some.low > 0.0 && (some.median - 0.02).abs() < 0.01, "{some:?}");
        let equal = Difference::of(&[(0.5, 0.5); 20], 1).expect("pairs");
        assert!(!equal.shows() && equal.wins == [0, 0, 20]);
        assert!(Difference::of(&[], 1).is_none());
    }
}
