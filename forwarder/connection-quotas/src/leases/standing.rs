//! Standing shares: the connections that an instance may open in a pool without a lease. Each instance computes its
//! standing share locally from the policy and the list of instances, without communication. By construction, the sum
//! over the list is the number of connections that the policy sets aside.

use std::cmp::Reverse;
use std::hash::{Hash, Hasher};

use siphasher::sip::SipHasher13;

use super::messages::Instance;
use crate::language::PoolId;

/// The first key of the hash: the ASCII letters `pool`. It must be the same on every machine and in every version, as
/// all instances have to compute the same shares.
const HASH_KEY: u64 = 0x706f_6f6c;

/// An instance's standing share of the `set_aside` connections; 0 for an instance that is not listed.
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

/// The standing shares of all listed instances, in their order. The connections are divided evenly; the remainder is
/// distributed one each to instances that are selected for each pool by rendezvous hashing.
pub(super) fn all_standing(
    set_aside: u32,
    pool: &PoolId,
    instances: &[(Instance, String)],
) -> Vec<u32> {
    let count = instances.len().max(1) as u32;
    let mut shares = vec![set_aside / count; instances.len()];
    let remainder = set_aside % count;
    if remainder > 0 {
        let mut order: Vec<usize> = (0..instances.len()).collect();
        order.sort_by_cached_key(|&position| {
            let name = &instances[position].0;
            (Reverse(score(pool, name)), name)
        });
        for position in order.into_iter().take(remainder as usize) {
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
