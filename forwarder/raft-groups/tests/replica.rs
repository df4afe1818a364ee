//! The guarantees of a group, in a seeded simulation with faults.

mod simulation;

use rstest::rstest;
use simulation::{InjectedBug, Simulation};

/// Simulates a period with faults, then one without, in which the group must commit again.
fn simulate(
    seed: u64,
    voters: usize,
    command_padding: usize,
    injected_bug: InjectedBug,
) -> Simulation {
    let mut simulation = Simulation::new(seed, voters, command_padding, injected_bug);
    simulation.run(20_000.0, 1.0);
    if simulation.violations.is_empty() {
        simulation.heal();
        let before = simulation.committed.len();
        simulation.run(6_000.0, 0.0);
        if simulation.committed.len() == before {
            simulation
                .violations
                .push("nothing is committed after the faults".into());
        }
    }
    simulation
}

/// The number of seeds, which `FLEET_SEEDS` overrides, for example `FLEET_SEEDS=300`.
fn seeds(default_count: u64) -> std::ops::Range<u64> {
    0..std::env::var("FLEET_SEEDS")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(default_count)
}

/// With large commands the logs are compacted, and replicas that are far behind receive a snapshot.
#[rstest]
#[case::of_three(3, 0, 12)]
#[case::of_five(5, 0, 8)]
#[case::with_log_compaction(3, 200_000, 4)]
fn a_group_loses_no_command_and_has_one_lease_holder_through_faults(
    #[case] voters: usize,
    #[case] command_padding: usize,
    #[case] default_count: u64,
) {
    let mut election_count = 0;
    for seed in seeds(default_count) {
        let simulation = simulate(seed, voters, command_padding, InjectedBug::NoBug);
        assert!(
            simulation.violations.is_empty(),
            "seed {seed}: {:?}",
            simulation.violations
        );
        election_count += simulation.election_count;
    }
    assert!(election_count > 10, "too few leader changes");
}

#[rstest]
#[case::an_instance_that_reuses_its_incarnation(InjectedBug::ReusedIncarnation)]
#[case::a_disk_that_acknowledges_too_early(InjectedBug::EarlyDiskAck)]
fn the_checks_detect(#[case] injected_bug: InjectedBug) {
    let found = (0..200).any(|seed| !simulate(seed, 3, 0, injected_bug).violations.is_empty());
    assert!(found, "no seed reveals the injected bug");
}

/// The owner still holds its lease based on the reply of a voter; then that voter restarts and immediately receives a
/// vote request.
fn simulate_voter_restart(seed: u64, injected_bug: InjectedBug) -> Simulation {
    let mut simulation = Simulation::new(seed, 3, 0, injected_bug);
    while simulation.lease_holder().is_none() && simulation.violations.is_empty() {
        simulation.run(10.0, 0.0);
    }
    let owner = simulation.lease_holder().unwrap_or(0);
    // The candidate's log is as long as the owner's, so only the withheld vote prevents its election.
    simulation.are_proposals_paused = true;
    simulation.run(200.0, 0.0);
    let voter = (owner + 1) % 3;
    let other = (owner + 2) % 3;
    simulation.block_link(owner, other);
    // The time falls within the second election attempt of the other voter.
    simulation.run(700.0 + 20.0 * seed as f64, 0.0);
    simulation.block_link(owner, voter);
    simulation.restart(voter);
    simulation.run(1_000.0, 0.0);
    simulation
}

#[test]
fn a_restarted_voter_withholds_its_vote() {
    for seed in 0..40 {
        let simulation = simulate_voter_restart(seed, InjectedBug::NoBug);
        assert!(
            simulation.violations.is_empty(),
            "seed {seed}: {:?}",
            simulation.violations
        );
    }
    let found = (0..40).any(|seed| {
        !simulate_voter_restart(seed, InjectedBug::VotesAfterRestart)
            .violations
            .is_empty()
    });
    assert!(
        found,
        "a voter that votes right after a restart is not detected"
    );
}
