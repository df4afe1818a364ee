//! Which instances keep the record of which: rendezvous hashing. Each pair has a weight of its own, and the
//! heaviest are taken, so an instance more or less changes only the choices that it is in itself.

use std::hash::Hasher;

use plankhill_forwarder_config::fleet::Instance;
use siphasher::sip::SipHasher13;

use crate::Incarnation;

/// All that may keep what `owner` founds, the first choice first: on another machine than the owner, those in
/// other zones before those in its own; a machine or zone that is taken before again comes last.
pub fn keepers(all: &[Instance], owner: &Instance, founder: Incarnation) -> Vec<usize> {
    let weight = |at: usize| {
        let mut hash = SipHasher13::new_with_keys(founder.0, 0x6b65_6570_6572);
        hash.write(all[at].name.as_bytes());
        hash.finish()
    };
    let mut others: Vec<usize> = (0..all.len())
        .filter(|at| all[*at].machine != owner.machine)
        .collect();
    others.sort_by_key(|at| {
        (
            all[*at].zone == owner.zone && !owner.zone.is_empty(),
            weight(*at),
        )
    });
    let mut chosen: Vec<usize> = Vec::new();
    while !others.is_empty() {
        // The best that shares least with those chosen before it.
        let shares = |at: usize| {
            let machine = chosen.iter().any(|c| all[*c].machine == all[at].machine);
            let zone = chosen
                .iter()
                .any(|c| all[*c].zone == all[at].zone && !all[at].zone.is_empty());
            (machine, zone)
        };
        let best = (0..others.len())
            .min_by_key(|place| shares(others[*place]))
            .unwrap_or(0);
        chosen.push(others.remove(best));
    }
    chosen
}
