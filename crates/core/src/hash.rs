//! Hash functions that give the same results in every proxy.

const FIRST_MULTIPLIER: u64 = 0xbf58_476d_1ce4_e5b9;
const SECOND_MULTIPLIER: u64 = 0x94d0_49bb_1331_11eb;
const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;

/// Spreads the bits of a number (the finalizer of SplitMix64).
pub(crate) fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(FIRST_MULTIPLIER);
    bits = (bits ^ (bits >> 27)).wrapping_mul(SECOND_MULTIPLIER);
    bits ^ (bits >> 31)
}

/// A uniformly distributed number in [0, 1) that depends only on the two arguments.
pub(crate) fn unit_hash(first: u64, second: u64) -> f64 {
    let bits = mix(first ^ mix(second.wrapping_add(GOLDEN_RATIO)));
    (bits >> 11) as f64 / (1u64 << 53) as f64
}

/// The score of an endpoint in weighted rendezvous hashing; the lowest score wins. The logarithm of the uniform hash is
/// approximated by the exponent and mantissa bits of the float.
pub(crate) fn rendezvous_score(endpoint: u64, key: u64, weight: f64) -> f64 {
    let uniform = unit_hash(endpoint, key) + 1e-12;
    (1023.0 - uniform.to_bits() as f64 / (1u64 << 52) as f64) * weight
}
