//! What an instance has of a pool without a lease. Each instance works it out by itself from the policy and the list
//! of instances, with nobody to ask; the sum over the list is what the policy sets aside, by construction.

use std::cmp::Reverse;
use std::hash::{Hash, Hasher};

use siphasher::sip::SipHasher13;

use super::messages::Instance;
use crate::language::PoolId;

/// The first key of the hash: the letters `pool`. It is part of the format: the same on every machine and with every
/// version.
const HASH_KEY: u64 = 0x706f_6f6c;

/// The share of `set_aside` connections that stands for an instance. Nothing for one that is not listed.
pub fn standing(
    set_aside: u32,
    pool: &PoolId,
    instance: &Instance,
    instances: &[(Instance, String)],
) -> u32 {
    match instances.iter().position(|(name, _)| name == instance) {
        Some(position) => all_standing(set_aside, pool, instances)[position],
        None => 0,
    }
}

/// The shares of all listed instances, in their order: even ones, and one more for as many as are left over, drawn for
/// each pool by rendezvous hashing.
pub(super) fn all_standing(
    set_aside: u32,
    pool: &PoolId,
    instances: &[(Instance, String)],
) -> Vec<u32> {
    let count = instances.len().max(1) as u32;
    let mut shares = vec![set_aside / count; instances.len()];
    let left_over = set_aside % count;
    if left_over > 0 {
        let mut order: Vec<usize> = (0..instances.len()).collect();
        order.sort_by_cached_key(|&position| {
            let name = &instances[position].0;
            (Reverse(score(pool, name)), name)
        });
        for position in order.into_iter().take(left_over as usize) {
            shares[position] += 1;
        }
    }
    shares
}

fn score(pool: &PoolId, instance: &Instance) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(HASH_KEY, 1);
    let (kind, name) = match pool {
        PoolId::Target(name) => (0u8, name.as_bytes().to_vec()),
        PoolId::Destination(number) => (1, number.to_le_bytes().to_vec()),
    };
    kind.hash(&mut hasher);
    hasher.write(&(name.len() as u64).to_le_bytes());
    hasher.write(&name);
    hasher.write(instance.0.as_bytes());
    hasher.finish()
}
