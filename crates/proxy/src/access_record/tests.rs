//! Tests of the sampling of access events.

use super::*;

/// Guards against unevenly spaced samples, and against a sampler that ignores a changed rate.
#[test]
fn samples_are_evenly_spaced() {
    let rate = Rc::new(Cell::new(0.25));
    let sampler = AccessSampler::new(rate.clone());
    let sampled: Vec<bool> = (0..8).map(|_| sampler.sample()).collect();
    assert_eq!(sampled, [false, false, false, true, false, false, false, true]);
    rate.set(1.0);
    assert!((0..4).all(|_| sampler.sample()));
    rate.set(0.0);
    assert!(!(0..4).any(|_| sampler.sample()));
}
