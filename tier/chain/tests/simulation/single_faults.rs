//! Single faults, and the time until clients of all other members are served again.

use plankhill_chain::Millis;

use crate::world::faults::FaultMix;
use crate::world::{World, WorldConfig};

/// Maximum time from a fault until operations are acknowledged again; well below the 4 s within
/// which a stable core has to acknowledge.
const RECOVERY_LIMIT: Millis = 1_500;
/// Maximum time from a proposal to its acknowledgement after the recovery.
const ANSWER_LIMIT: Millis = 600;
/// Number of worlds for each scenario.
const SEEDS: u64 = 10;

/// A world of three members in service, with a proposal every 50 ms on average.
pub fn healthy_world(seed: u64) -> World {
    let config = WorldConfig {
        machines: 3,
        seeds: 3,
        tolerated_faults: 1,
        operation_interval: 50,
        injected_bug: None,
        fault_mix: FaultMix::Any,
    };
    World::healthy(seed, config)
}

/// Asserts that a new operation proposed at each of these machines is acknowledged.
fn assert_served(world: &mut World, machines: &[usize], context: &str) {
    let first = 2_000_000 + 10 * world.now;
    let operations: Vec<_> = machines
        .iter()
        .map(|index| (*index, first + *index as u64))
        .collect();
    for (index, operation) in &operations {
        world.propose(*index, *operation);
    }
    world.run(ANSWER_LIMIT);
    for (index, operation) in operations {
        assert!(
            world.is_acknowledged(operation),
            "{context}: machine {index}"
        );
    }
    world.assert_no_violations(&context);
}

fn others(index: usize) -> Vec<usize> {
    (0..3).filter(|other| *other != index).collect()
}

fn for_each_machine(mut run_scenario: impl FnMut(World, usize, &str)) {
    for seed in 0..SEEDS {
        for index in 0..3 {
            run_scenario(
                healthy_world(seed),
                index,
                &format!("seed {seed}, machine {index}"),
            );
        }
    }
}

#[test]
fn the_chain_continues_without_any_one_member() {
    for_each_machine(|mut world, index, context| {
        world.stop(index);
        world.run(RECOVERY_LIMIT);
        assert_served(&mut world, &others(index), context);
    });
}

#[test]
fn the_chain_continues_without_a_member_whose_disk_stalls() {
    for_each_machine(|mut world, index, context| {
        world.machines[index].stalled_until = Millis::MAX;
        world.run(RECOVERY_LIMIT + 1_000);
        assert_served(&mut world, &others(index), context);
    });
}

/// Maximum number of batches that wait for a disk that rejects writes, however long the disk
/// rejects them.
const MAX_PENDING_BATCHES: usize = 8;

#[test]
fn a_member_with_a_full_disk_leaves_the_chain_and_rejoins() {
    for_each_machine(|mut world, index, context| {
        world.machines[index].full_until = world.now + 60_000;
        // The first rejected write notifies the member.
        world.run(RECOVERY_LIMIT);
        assert_served(&mut world, &others(index), context);
        assert_eq!(world.in_service(), 2, "{context}");
        world.run(55_000);
        let pending = world.machines[index].disk.pending.len();
        assert!(
            pending <= MAX_PENDING_BATCHES,
            "{context}: {pending} batches are pending"
        );
        assert!(world.machines[index].is_up(), "{context}");
        world.run(3_500 + RECOVERY_LIMIT);
        assert_eq!(world.in_service(), 3, "{context}");
        assert_served(&mut world, &[0, 1, 2], context);
    });
}

/// Batches that wait for a full disk are not acknowledged by any member, and operations on the
/// other disks are not lost with these batches.
#[test]
fn a_power_loss_during_a_full_disk_loses_nothing() {
    for_each_machine(|mut world, index, context| {
        world.machines[index].full_until = Millis::MAX;
        let request = world.propose(index, 3_000_000);
        world.run(RECOVERY_LIMIT);
        assert_served(&mut world, &others(index), context);
        for machine in 0..3 {
            world.stop(machine);
        }
        world.machines[index].full_until = 0;
        for machine in 0..3 {
            world.schedule_restart(machine, 10 + machine as Millis * 40);
        }
        world.run(4_000);
        assert_eq!(world.in_service(), 3, "{context}, {request}");
        assert_served(&mut world, &[0, 1, 2], context);
    });
}

#[test]
fn a_partitioned_member_fails_proposals_at_once() {
    for_each_machine(|mut world, index, context| {
        world.isolate(index);
        world.run(RECOVERY_LIMIT);
        let request = world.propose(index, 3_000_000);
        assert!(!world.is_proposal_pending(request), "{context}");
        assert_served(&mut world, &others(index), context);
    });
}

#[test]
fn a_partition_in_one_direction_leaves_all_members_served() {
    for seed in 0..SEEDS {
        for (from, to) in [(0, 1), (1, 0), (0, 2), (2, 0), (1, 2), (2, 1)] {
            let mut world = healthy_world(seed);
            world.partition(&[(from, to)]);
            world.run(RECOVERY_LIMIT + 1_000);
            assert_served(
                &mut world,
                &[0, 1, 2],
                &format!("seed {seed}, partition {from} to {to}"),
            );
        }
    }
}

#[test]
fn a_frozen_head_acknowledges_nothing_of_the_old_view_after_its_thaw() {
    for seed in 0..SEEDS {
        let mut world = healthy_world(seed);
        let head = world.head().unwrap();
        let request = world.propose(head, 3_000_000);
        world.machines[head].frozen = true;
        world.run(RECOVERY_LIMIT);
        assert_served(&mut world, &others(head), &format!("seed {seed}"));
        world.thaw(head);
        world.run(4_000);
        // A retry may commit its operation in the later view, through the later head; all members
        // apply the same order in any case.
        assert!(!world.is_proposal_pending(request));
        assert!(world.history.borrow().violations.is_empty());
        assert_eq!(world.in_service(), 3);
    }
}
