//! A member that is absent for 20 s while the others continue: partitioned in both directions or in
//! one, frozen, or with a stalled disk; also a partition of all members into two parts.
//!
//! The simulation checks every read and every acknowledgement at each step; in these tests, clients
//! also call the absent member itself throughout the absence.

use plankhill_chain::Millis;

use crate::world::faults::{FaultMix, RECOVERY_TIMEOUT};
use crate::world::{World, WorldConfig};

/// Duration of the absence.
const ABSENCE_DURATION: Millis = 20_000;
/// Interval between two calls to the absent member.
const CALL_INTERVAL: Millis = 250;
/// Maximum time until a partitioned member detects that it is not current.
const DETECTION_LIMIT: Millis = 1_100;
const SEEDS: u64 = 6;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Absence {
    BothWays,
    NoInbound,
    NoOutbound,
    Frozen,
    DiskStalled,
}

fn healthy_world(seed: u64, machines: usize, tolerated_faults: usize) -> World {
    let config = WorldConfig {
        machines,
        seeds: 3,
        tolerated_faults,
        operation_interval: 40,
        injected_bug: None,
        fault_mix: FaultMix::Any,
    };
    World::healthy(seed, config)
}

fn begin_absence(world: &mut World, index: usize, absence: Absence) {
    let others: Vec<_> = (0..world.machines.len())
        .filter(|other| *other != index)
        .collect();
    let inbound: Vec<_> = others.iter().map(|other| (*other, index)).collect();
    let outbound: Vec<_> = others.iter().map(|other| (index, *other)).collect();
    match absence {
        Absence::BothWays => world.isolate(index),
        Absence::NoInbound => world.partition(&inbound),
        Absence::NoOutbound => world.partition(&outbound),
        Absence::Frozen => world.machines[index].frozen = true,
        Absence::DiskStalled => world.machines[index].stalled_until = world.now + ABSENCE_DURATION,
    }
}

/// Proposes at the member repeatedly during the absence while clients call the others. Returns the
/// number of operations acknowledged in this time.
fn propose_during_absence(world: &mut World, index: usize, context: &str) -> usize {
    let before = world.history.borrow().acknowledgements();
    let end = world.now + ABSENCE_DURATION;
    while world.now < end {
        let operation = 5_000_000 + world.now * 10 + index as u64;
        world.propose(index, operation);
        world.run(CALL_INTERVAL);
        world.assert_no_violations(&context);
    }
    world.history.borrow().acknowledgements() - before
}

fn run_absence(seed: u64, machines: usize, index: usize, absence: Absence) {
    let context = format!("seed {seed}, {machines} machines, {absence:?} at {index}");
    let mut world = healthy_world(seed, machines, (machines - 1) / 2);
    begin_absence(&mut world, index, absence);
    world.run(DETECTION_LIMIT);
    let reports_current = world.machines[index]
        .process
        .as_ref()
        .is_some_and(|member| member.is_current(world.now));
    assert!(
        !reports_current || !matches!(absence, Absence::BothWays | Absence::NoInbound),
        "{context}: the member reports itself as current"
    );
    let acknowledged = propose_during_absence(&mut world, index, &context);
    assert!(
        acknowledged > 100,
        "{context}: {acknowledged} acknowledgements"
    );
    world.heal();
    world.thaw(index);
    world.run(RECOVERY_TIMEOUT);
    assert_eq!(world.in_service(), machines, "{context}");
    world.assert_no_violations(&context);
}

fn run_absences(absence: Absence) {
    for seed in 0..SEEDS {
        for machines in [3, 5] {
            for index in 0..machines {
                run_absence(seed, machines, index, absence);
            }
        }
    }
}

#[test]
fn a_member_partitioned_both_ways_rejoins() {
    run_absences(Absence::BothWays);
}

#[test]
fn a_member_without_inbound_messages_rejoins() {
    run_absences(Absence::NoInbound);
}

#[test]
fn a_member_without_outbound_messages_rejoins() {
    run_absences(Absence::NoOutbound);
}

#[test]
fn a_frozen_member_rejoins() {
    run_absences(Absence::Frozen);
}

#[test]
fn a_member_with_a_stalled_disk_rejoins() {
    run_absences(Absence::DiskStalled);
}

/// Neither half of four machines has a majority; of five machines, the larger part has one and
/// continues. Clients call both parts throughout the partition.
#[test]
fn only_a_part_with_a_majority_continues() {
    for seed in 0..SEEDS {
        for (machines, continues) in [(4, false), (5, true)] {
            let context = format!("seed {seed}, {machines} machines in two parts");
            let mut world = healthy_world(seed, machines, (machines - 1) / 2);
            let cut_links = (0..2)
                .flat_map(|one| (2..machines).flat_map(move |other| [(one, other), (other, one)]));
            world.partition(&cut_links.collect::<Vec<_>>());
            world.run(4_000);
            let before = world.history.borrow().acknowledgements();
            propose_during_absence(&mut world, 0, &context);
            assert_eq!(
                world.history.borrow().acknowledgements() > before,
                continues,
                "{context}"
            );
            world.heal();
            world.run(RECOVERY_TIMEOUT);
            assert_eq!(world.in_service(), machines, "{context}");
            world.assert_no_violations(&context);
        }
    }
}
