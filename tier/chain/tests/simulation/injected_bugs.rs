//! Tests that each invariant of the simulation detects the injected bugs that it covers.

use plankhill_chain::PlantedBug;

use crate::world::checker::Invariant;
use crate::world::faults::{FaultMix, InjectedBug, RECOVERY_TIMEOUT};
use crate::world::{World, WorldConfig};

/// Number of worlds for each injected bug, at least one of which has to violate the invariant.
const SEEDS: u64 = 300;

/// Asserts that at least one world with this bug violates the invariant.
fn assert_violation_found(injected_bug: InjectedBug, invariant: Invariant) {
    let config = WorldConfig {
        machines: 3,
        seeds: 3,
        tolerated_faults: 1,
        operation_interval: 25,
        injected_bug: Some(injected_bug),
        fault_mix: FaultMix::Any,
    };
    let found = (0..SEEDS).any(|seed| run_world(seed, config.clone()).contains(&invariant));
    assert!(found, "{injected_bug:?} never violated {invariant:?}");
}

/// Runs one world to the end and returns the invariants violated.
fn run_world(seed: u64, config: WorldConfig) -> Vec<Invariant> {
    let mut world = World::new(seed, config);
    world.fault_after_acknowledgement = true;
    world.run(2_500);
    world.start_faults();
    world.run(25_000);
    world.stop_faults();
    world.run(RECOVERY_TIMEOUT);
    let running = world
        .machines
        .iter()
        .filter(|machine| machine.is_up())
        .count();
    if world.in_service() < running {
        world
            .history
            .borrow_mut()
            .record_violation(Invariant::Availability, "not all in service".into());
    }
    world.are_clients_stopped = true;
    world.run(1_000);
    for machine in world
        .machines
        .iter()
        .filter_map(|machine| machine.process.as_ref())
    {
        world
            .history
            .borrow_mut()
            .check_nothing_lost(&machine.machine().applied);
    }
    let violations = world.history.borrow().violations.keys().copied().collect();
    violations
}

#[test]
fn unsynced_disks_are_found() {
    assert_violation_found(
        InjectedBug::UnsyncedDisk,
        Invariant::ReplicatedWhenAcknowledged,
    );
    assert_violation_found(InjectedBug::UnsyncedDisk, Invariant::NothingLost);
}

#[test]
fn votes_of_a_lost_disk_are_found() {
    assert_violation_found(InjectedBug::IncarnationReused, Invariant::SingleOrder);
}

#[test]
fn forgotten_promises_are_found() {
    assert_violation_found(InjectedBug::PromisesForgotten, Invariant::SingleView);
}

#[test]
fn acknowledgements_with_too_few_replicas_are_found() {
    assert_violation_found(
        InjectedBug::SingleReplicaCommits,
        Invariant::ReplicatedWhenAcknowledged,
    );
}

#[test]
fn reads_answered_by_a_former_tail_are_found() {
    assert_violation_found(InjectedBug::ViewAlwaysConfirmed, Invariant::FreshReads);
}

#[test]
fn messages_of_former_views_that_are_accepted_are_found() {
    assert_violation_found(InjectedBug::ViewsNotChecked, Invariant::SingleOrder);
}

#[test]
fn retries_treated_as_new_proposals_are_found() {
    assert_violation_found(InjectedBug::RetriesRenumbered, Invariant::AppliedOnce);
}

#[test]
fn altered_outcomes_are_found() {
    assert_violation_found(InjectedBug::OutcomesAltered, Invariant::SingleOutcome);
    assert_violation_found(InjectedBug::OutcomesAltered, Invariant::NothingLost);
}

#[test]
fn lost_decisions_are_found() {
    assert_violation_found(InjectedBug::DecisionsLost, Invariant::Availability);
}

/// Number of worlds with repeatedly dueling proposers.
const DUELING_SEEDS: u64 = 100;
/// Minimum number of these worlds that have to violate the invariant with a bug in the members'
/// rules.
const MIN_SEEDS_FOUND: usize = 10;

fn dueling_world(injected_bug: Option<InjectedBug>) -> WorldConfig {
    WorldConfig {
        machines: 3,
        seeds: 3,
        tolerated_faults: 1,
        operation_interval: 25,
        injected_bug,
        fault_mix: FaultMix::DuelingProposers,
    }
}

/// Asserts that at least [`MIN_SEEDS_FOUND`] worlds with dueling proposers violate the invariant.
fn assert_violation_found_often(bug: PlantedBug, invariant: Invariant) {
    let config = dueling_world(Some(InjectedBug::Planted(bug)));
    let found = (0..DUELING_SEEDS)
        .filter(|seed| run_world(*seed, config.clone()).contains(&invariant))
        .count();
    println!("{bug:?}: {found} of {DUELING_SEEDS} seeds violate {invariant:?}");
    assert!(found >= MIN_SEEDS_FOUND, "{bug:?}: {found} seeds");
}

#[test]
fn forgotten_accepted_views_are_found_by_many_seeds() {
    assert_violation_found_often(PlantedBug::AcceptedViewForgotten, Invariant::SingleView);
}

#[test]
fn read_quorums_that_are_too_small_are_found_by_many_seeds() {
    assert_violation_found_often(PlantedBug::ReadQuorumTooSmall, Invariant::FreshReads);
}

#[test]
fn dueling_proposers_violate_no_invariant() {
    for seed in 0..DUELING_SEEDS {
        let violations = run_world(seed, dueling_world(None));
        assert!(violations.is_empty(), "seed {seed}: {violations:?}");
    }
}
