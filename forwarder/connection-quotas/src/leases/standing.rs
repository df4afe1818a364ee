//! What an instance has of a pool without a lease. All work it out alike from the policy and the list of
//! instances, with nobody to ask; the sum over the list is what the policy sets aside, by construction.

use std::hash::{Hash, Hasher};

use siphasher::sip::SipHasher13;

use super::words::Instance;
use crate::language::PoolId;

/// The part of `aside` connections that stands for an instance. Nothing for one that is not listed.
pub fn standing(aside: u32, pool: &PoolId, instance: &Instance, all: &[(Instance, String)]) -> u32 {
    let place = all.iter().position(|(name, _)| name == instance);
    place.map_or(0, |place| all_standing(aside, pool, all)[place])
}

/// The parts of all that are listed, in their order: even ones, and one more for as many as are left over, drawn
/// for each pool by rendezvous hashing.
pub fn all_standing(aside: u32, pool: &PoolId, all: &[(Instance, String)]) -> Vec<u32> {
    let count = all.len().max(1) as u32;
    let (even, more) = (aside / count, aside % count);
    let mut parts = vec![even; all.len()];
    if more > 0 {
        let mut order: Vec<usize> = (0..all.len()).collect();
        order.sort_by_cached_key(|place| {
            (
                std::cmp::Reverse(score(pool, &all[*place].0)),
                &all[*place].0,
            )
        });
        order
            .into_iter()
            .take(more as usize)
            .for_each(|place| parts[place] += 1);
    }
    parts
}

fn score(pool: &PoolId, instance: &Instance) -> u64 {
    // The same on every machine and with every version: the key is part of the format.
    let mut hasher = SipHasher13::new_with_keys(0x706f_6f6c, 1);
    let (sort, place) = match pool {
        PoolId::Target(name) => (0u8, name.as_bytes().to_vec()),
        PoolId::Destination(number) => (1, number.to_le_bytes().to_vec()),
    };
    sort.hash(&mut hasher);
    hasher.write(&(place.len() as u64).to_le_bytes());
    hasher.write(&place);
    hasher.write(instance.0.as_bytes());
    hasher.finish()
}
