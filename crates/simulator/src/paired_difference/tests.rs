//! Tests of the significance of paired differences.

use super::*;

/// Pairs whose figures vary much more from workload to workload than from A to B.
fn pairs(random: &mut RandomStream, shift: f64) -> Vec<Pair> {
    let pair = |_| {
        let figure = random.uniform();
        Pair { a: figure, b: figure + shift + 0.01 * random.normal() }
    };
    (0..20).map(pair).collect()
}

#[test]
fn shift_is_significant_and_noise_is_not() {
    let mut random = RandomStream::new(1, "pairs");
    let noise = PairedDifference::new(&pairs(&mut random, 0.0), 1).expect("pairs");
    let shift = PairedDifference::new(&pairs(&mut random, 0.02), 1).expect("pairs");
    assert!(!noise.is_significant(), "{noise:?}");
    assert!(shift.is_significant() && shift.low > 0.0, "{shift:?}");
    assert!((shift.median - 0.02).abs() < 0.01, "{shift:?}");
    let equal = PairedDifference::new(&[Pair { a: 0.5, b: 0.5 }; 20], 1).expect("pairs");
    assert!(!equal.is_significant());
    assert_eq!(equal.wins, Wins { ahead: 0, behind: 0, equal: 20 });
    assert!(PairedDifference::new(&[], 1).is_none());
}
