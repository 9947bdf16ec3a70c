//! Tests of the streams of random numbers and their distributions.

use super::*;

const SAMPLES: u32 = 40_000;

#[test]
fn streams_depend_on_seed_and_purpose_only() {
    let values = |seed, purpose| {
        let mut random = RandomStream::new(seed, purpose);
        [random.uniform(), random.exponential(), random.normal()]
    };
    assert_eq!(values(1, "a"), values(1, "a"));
    assert_ne!(values(1, "a"), values(1, "b"));
    assert_ne!(values(1, "a"), values(2, "a"));
}

#[test]
fn distributions_have_their_means() {
    let mut random = RandomStream::new(3, "means");
    let mut mean = |sample: &mut dyn FnMut(&mut RandomStream) -> f64| {
        (0..SAMPLES).map(|_| sample(&mut random)).sum::<f64>() / f64::from(SAMPLES)
    };
    assert!((mean(&mut |random| random.exponential()) - 1.0).abs() < 0.03);
    assert!((mean(&mut |random| random.lognormal(1.5)) - 1.0).abs() < 0.06);
    assert!((mean(&mut |random| random.in_range(Range::Between([2.0, 4.0]))) - 3.0).abs() < 0.03);
    let zipf = Zipf::new(100, 0.8);
    let first = mean(&mut |random| f64::from(u8::from(zipf.sample(random) == 0)));
    let expected = 1.0 / (1..=100).map(|rank| f64::from(rank).powf(-0.8)).sum::<f64>();
    assert!((first - expected).abs() < 0.01, "{first} {expected}");
}
