//! Selection of the voters of a group.

use plankhill_forwarder_config::fleet::Instance;
use plankhill_raft_groups::{placement::rank_voters, Incarnation};

fn instances(machines: usize, zones: usize) -> Vec<Instance> {
    let instance = |at: usize| Instance {
        name: format!("i{at}"),
        address: ([127, 0, 0, 1], 1000 + at as u16).into(),
        machine: format!("m{at}"),
        zone: format!("z{}", at % zones),
    };
    (0..machines).map(instance).collect()
}

#[test]
fn voters_are_on_other_machines_and_in_other_zones_and_their_load_is_spread() {
    let mut all = instances(12, 3);
    // Two processes on one machine.
    all[1].machine = all[0].machine.clone();
    let mut selection_counts = vec![0; all.len()];
    for founder in 1..=600 {
        let owner = &all[founder as usize % all.len()];
        let chosen = &rank_voters(&all, owner, Incarnation(founder))[..2];
        for at in chosen {
            assert_ne!(all[*at].machine, owner.machine);
            assert_ne!(all[*at].zone, owner.zone);
            selection_counts[*at] += 1;
        }
        assert_ne!(all[chosen[0]].zone, all[chosen[1]].zone);
    }
    assert!(
        selection_counts.iter().all(|k| (50..=150).contains(k)),
        "{selection_counts:?}"
    );
}

#[test]
fn an_added_instance_moves_only_its_own_share() {
    let before = instances(20, 1);
    let after = instances(21, 1);
    let mut moved = 0;
    let mut all = 0;
    for founder in 1..=1000u64 {
        let owner = &before[founder as usize % before.len()];
        let chosen = |from: &[Instance]| {
            let chosen = rank_voters(from, owner, Incarnation(founder))
                .into_iter()
                .take(2);
            chosen.map(|at| from[at].name.clone()).collect::<Vec<_>>()
        };
        let old = chosen(&before);
        let new = chosen(&after);
        // A newly selected voter must be the added instance; all other voters were selected before.
        assert!(new.iter().all(|n| n == "i20" || old.contains(n)));
        moved += new.iter().filter(|n| !old.contains(n)).count();
        all += 2;
    }
    // A fair share of 2000 would be 100.
    assert!((60..=150).contains(&moved), "{moved} of {all}");
}
