//! Budgets of connections over several processes: what targets saw open at once, over faults of all kinds.

use std::time::Duration;

use plankhill_process_tests::{until, Manner, Told, World};
use rstest::rstest;

const BUDGET: usize = 6;
/// What stands for all without a lease.
const STANDING: usize = 3;

/// Three instances, ready and with a leader that gives; targets take a tenth of a second for an answer.
fn pooled() -> World {
    let lease = "lease { lasts 4s renew 200ms drift 1% }";
    let budget = format!("budget each target {{ connections {BUDGET} standing {STANDING} }}");
    let pools = Some(format!("language 1 edition 1\n{lease}\n{budget}\n"));
    let mut world = World::new(
        3,
        &Told {
            pools,
            room: 4_000,
            ..Told::default()
        },
    );
    world.start_all();
    until("one gives", || {
        (0..3).any(|instance| {
            world
                .process(instance)
                .said("connection quotas: leads the control group,")
                > 0
        })
    });
    world.set_targets(Manner::Answers(Duration::from_millis(100)));
    world
}

fn within_budget(world: &World) {
    for target in &world.targets {
        assert!(
            target.most_open() <= BUDGET,
            "{} connections were open at once",
            target.most_open()
        );
    }
}

/// Leases are in use: more is open than what stands without any.
fn until_leased(world: &World) {
    until("more is open than what stands without a lease", || {
        world
            .targets
            .iter()
            .any(|target| target.most_open() > STANDING)
    });
}

#[test]
fn all_together_open_no_more_than_the_budget_and_use_it() {
    let mut world = pooled();
    let load = world.load(1, 9);
    until_leased(&world);
    load.until_taken(300);
    load.stop();
    world.verdict();
    within_budget(&world);
}

#[rstest]
#[case::killed(World::kill, World::start)]
#[case::stalled(World::stop, World::wake)]
#[case::cut_off(World::cut_off, World::heal)]
fn the_budget_holds_over_a_fault(
    #[case] fault: fn(&mut World, usize),
    #[case] mends: fn(&mut World, usize),
    #[values(0, 2)] instance: usize,
) {
    let mut world = pooled();
    let load = world.load(2, 9);
    until_leased(&world);
    load.until_taken(60);
    fault(&mut world, instance);
    load.until_taken(100);
    mends(&mut world, instance);
    load.until_taken(60);
    load.stop();
    world.verdict();
    within_budget(&world);
}

#[test]
fn a_faulty_policy_ends_the_start_with_its_place_and_key() {
    let pools = Some("language 1 edition 1\nbudget each target { conections 3 }\n".to_owned());
    let mut world = World::new(
        3,
        &Told {
            pools,
            ..Told::default()
        },
    );
    world.launch(0);
    let said = "pools.policy:2:22: conections: cannot stand here; did you mean `connections`?";
    world.process(0).until_said(said, 0);
    assert!(!world.instances[0].process.waited());
}

#[test]
fn each_for_itself_they_open_more() {
    let mut world = World::new(
        3,
        &Told {
            room: 4_000,
            ..Told::default()
        },
    );
    world.start_all();
    world.set_targets(Manner::Answers(Duration::from_millis(100)));
    let load = world.load(1, 9);
    until("a target sees more than the budget", || {
        world
            .targets
            .iter()
            .any(|target| target.most_open() > BUDGET)
    });
    load.stop();
    world.verdict();
}
