//! Selects the voters of an event log's group by rendezvous hashing (Thaler and Ravishankar 1998). Each pair of founder
//! and instance has its own weight, and the instances of least weight are selected, so adding or removing an instance
//! changes only the selections that contain that instance.

use std::hash::Hasher;

use plankhill_forwarder_config::fleet::Instance;
use siphasher::sip::SipHasher13;

use crate::Incarnation;

/// The second key of the hash: the letters `keeper`. Another key would move every group.
const HASH_KEY: u64 = 0x6b65_6570_6572;

/// Ranks the positions of all instances that may vote in a group founded by `owner`, best first. Instances on the
/// owner's machine are excluded, and instances in other zones precede those in the owner's zone. An instance that
/// shares a machine or zone with a higher-ranked instance comes last.
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

/// Whether `candidate` shares its machine, and whether it shares its zone, with an instance that is already ranked.
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
