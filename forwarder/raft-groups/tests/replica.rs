//! What a group promises, in a seeded simulation with faults.

mod world;

use rstest::rstest;
use world::{Planted, World};

/// A rough while, then a calm one in which the group has to come back.
fn played(seed: u64, voters: usize, large: usize, planted: Planted) -> World {
    let mut world = World::new(seed, voters, large, planted);
    world.run(20_000.0, 1.0);
    if world.faults.is_empty() {
        world.heal();
        let before = world.committed.len();
        world.run(6_000.0, 0.0);
        if world.committed.len() == before {
            world
                .faults
                .push("nothing counts any more in a calm world".into());
        }
    }
    world
}

/// More on call: `FLEET_SEEDS=300`.
fn seeds(few: u64) -> std::ops::Range<u64> {
    0..std::env::var("FLEET_SEEDS")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(few)
}

/// With large commands the logs are cut, and those far behind get a state in place of them.
#[rstest]
#[case::of_three(3, 0, 12)]
#[case::of_five(5, 0, 8)]
#[case::whose_log_is_cut(3, 200_000, 4)]
fn a_group_loses_no_command_and_has_one_lease_holder_through_faults(
    #[case] voters: usize,
    #[case] large: usize,
    #[case] few: u64,
) {
    let mut leads = 0;
    for seed in seeds(few) {
        let world = played(seed, voters, large, Planted::Nothing);
        assert!(world.faults.is_empty(), "seed {seed}: {:?}", world.faults);
        leads += world.leads;
    }
    assert!(leads > 10, "owners never changed");
}

#[rstest]
#[case::an_instance_that_votes_on_the_strength_of_its_name(Planted::SameLife)]
#[case::a_disk_that_acknowledges_too_early(Planted::DiskLies)]
fn the_checks_find(#[case] planted: Planted) {
    let found = (0..200).any(|seed| !played(seed, 3, 0, planted).faults.is_empty());
    assert!(found, "no seed shows it");
}

/// The owner still holds by the word of a keeper that is then started anew, and asked for its vote at once.
fn restarted_keeper(seed: u64, planted: Planted) -> World {
    let mut world = World::new(seed, 3, 0, planted);
    while world.holder().is_none() && world.faults.is_empty() {
        world.run(10.0, 0.0);
    }
    let owner = world.holder().unwrap_or(0);
    // The other's log is as long, so that nothing but the promise keeps it from the lead.
    world.quiet = true;
    world.run(200.0, 0.0);
    let keeper = (owner + 1) % 3;
    let other = (owner + 2) % 3;
    world.cut_off(owner, other);
    // Somewhere in the other's second attempt.
    world.run(700.0 + 20.0 * seed as f64, 0.0);
    world.cut_off(owner, keeper);
    world.restart(keeper);
    world.run(1_000.0, 0.0);
    world
}

#[test]
fn a_restarted_voter_keeps_the_promise_that_it_may_have_given() {
    for seed in 0..40 {
        let world = restarted_keeper(seed, Planted::Nothing);
        assert!(world.faults.is_empty(), "seed {seed}: {:?}", world.faults);
    }
    let found = (0..40).any(|seed| {
        !restarted_keeper(seed, Planted::VotesAtOnce)
            .faults
            .is_empty()
    });
    assert!(
        found,
        "a voter that votes right after a restart is not found"
    );
}
