//! Rendezvous hashing (Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
//! 1998): every proxy derives the same order of targets for a key, without messages.
//!
//! The hash values are a fixed format: proxies of two versions that run side by side have to agree
//! on them.

use std::cmp::Reverse;

use plankhill_protocol::ids::InstanceId;

/// A hash of a target's id; computed once for each target.
pub fn target_hash(id: &InstanceId) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    id.as_str()
        .bytes()
        .fold(OFFSET_BASIS, |hash, byte| mix(hash ^ u64::from(byte)))
}

/// The weight of a target in the order of `key`; the target with the largest weight is first.
pub fn rendezvous_weight(key: u64, target_hash: u64) -> u64 {
    mix(key ^ target_hash)
}

/// The rank of each target in the order of `key`, by the target's position in `target_hashes`.
pub(crate) fn rendezvous_ranks(key: u64, target_hashes: &[u64]) -> Vec<usize> {
    let weights: Vec<u64> = target_hashes
        .iter()
        .map(|target| rendezvous_weight(key, *target))
        .collect();
    let mut order: Vec<usize> = (0..weights.len()).collect();
    order.sort_by_key(|index| Reverse(weights[*index]));
    let mut ranks = vec![0; weights.len()];
    for (rank, index) in order.iter().enumerate() {
        ranks[*index] = rank;
    }
    ranks
}

/// A target's weight as a number from 0 (included) to 1 (excluded).
pub(crate) fn unit_weight(key: u64, target_hash: u64) -> f64 {
    // The upper 53 bits fill the significand of an f64.
    (rendezvous_weight(key, target_hash) >> 11) as f64 / (1u64 << 53) as f64
}

/// The increment and the finalizer of splitmix64 (Steele, Lea and Flood, "Fast Splittable
/// Pseudorandom Number Generators", 2014).
pub(crate) fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
