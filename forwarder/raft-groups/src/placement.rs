//! Which instances vote in whose event log's group: rendezvous hashing (Thaler and Ravishankar 1998). Each pair of a
//! founder and an instance has a weight of its own, and the heaviest are taken, so an instance more or less changes
//! only the choices that it is in itself.

use std::hash::Hasher;

use plankhill_forwarder_config::fleet::Instance;
use siphasher::sip::SipHasher13;

use crate::Incarnation;

/// The second key of the hash: the letters `keeper`. Another one would move every group.
const HASH_KEY: u64 = 0x6b65_6570_6572;

/// The positions of all instances that may vote in a group that `owner` founds, the first choice first: on another
/// machine than the owner, those in other zones ahead of those in its own. A machine or zone that is taken already
/// comes last.
pub fn rank_voters(instances: &[Instance], owner: &Instance, founder: Incarnation) -> Vec<usize> {
    let mut candidates: Vec<usize> = (0..instances.len())
        .filter(|&at| instances[at].machine != owner.machine)
        .collect();
    candidates.sort_by_key(|&at| {
        let instance = &instances[at];
        let is_in_owners_zone = instance.zone == owner.zone && !owner.zone.is_empty();
        (is_in_owners_zone, weight(instance, founder))
    });
    let mut ranked: Vec<usize> = Vec::new();
    while !candidates.is_empty() {
        let best = (0..candidates.len())
            .min_by_key(|&place| shared_failure_domains(instances, &ranked, candidates[place]))
            .unwrap_or(0);
        ranked.push(candidates.remove(best));
    }
    ranked
}

fn weight(instance: &Instance, founder: Incarnation) -> u64 {
    let mut hash = SipHasher13::new_with_keys(founder.0, HASH_KEY);
    hash.write(instance.name.as_bytes());
    hash.finish()
}

/// Whether the machine, and whether the zone, of `candidate` is that of an instance ranked before.
fn shared_failure_domains(
    instances: &[Instance],
    ranked: &[usize],
    candidate: usize,
) -> (bool, bool) {
    let candidate = &instances[candidate];
    let shares_machine = ranked
        .iter()
        .any(|&at| instances[at].machine == candidate.machine);
    let shares_zone = !candidate.zone.is_empty()
        && ranked
            .iter()
            .any(|&at| instances[at].zone == candidate.zone);
    (shares_machine, shares_zone)
}
