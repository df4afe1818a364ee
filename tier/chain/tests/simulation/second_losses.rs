//! A second loss at any time during a repair or a replacement.
//!
//! | step | minimum synced replicas | minimum votes |
//! | --- | --- | --- |
//! | all in service, f+1 members or more | f+1 | majority of the voters and f more |
//! | a disk is lost (f losses at once) | f+1 minus the lost ones, at least 1 | majority |
//! | the chain continues without the lost disk | f+1 for all operations acknowledged from then on | majority |
//! | the new disk has caught up, and the view that includes it is not yet decided | one more than before, which does not count | majority |
//! | the view that includes the new disk is decided | f+1, not counting the lost disk | majority of the new voters |
//! | `catch_up_s` later | f+1 | majority and f more: the next loss is tolerated |
//!
//! The minimum number of replicas is asserted at each step of the simulation.

use plankhill_chain::Millis;

use crate::world::faults::{FaultMix, RECOVERY_TIMEOUT};
use crate::world::{World, WorldConfig};

/// Time from the loss of a disk until the machine may have caught up, rejoined the chain and
/// counted as repaired.
const REPAIR_DURATION: Millis = 5_000;
/// Interval between the tested times of the power loss.
const LOSS_INTERVAL: Millis = 90;

fn healthy_world(seed: u64, machines: usize, tolerated_faults: usize) -> World {
    let config = WorldConfig {
        machines,
        seeds: 3,
        tolerated_faults,
        operation_interval: 25,
        injected_bug: None,
        fault_mix: FaultMix::Any,
    };
    World::healthy(seed, config)
}

/// Ends the process, empties its disk, and schedules a restart.
fn lose_disk(world: &mut World, index: usize) {
    world.drop_pending_calls(index);
    world.stop(index);
    world.machines[index].disk = Default::default();
    world.schedule_restart(index, 60);
}

/// Runs in small steps. After each step, asserts the minimum number of synced replicas up to the
/// highest revision that clients have observed.
fn run_counting_replicas(world: &mut World, duration: Millis, min_replicas: usize, context: &str) {
    let end = world.now + duration;
    while world.now < end {
        world.run(5.min(end - world.now));
        let observed = world.history.borrow().highest_observed();
        let replicas = world
            .machines
            .iter()
            .filter(|machine| machine.disk.contains(observed))
            .count();
        assert!(
            observed == 0 || replicas >= min_replicas,
            "{context}: {replicas} replicas of {observed} at {}",
            world.now
        );
        world.assert_no_violations(&context);
    }
}

fn assert_nothing_lost(world: &mut World, context: &str) {
    world.run(RECOVERY_TIMEOUT);
    assert_eq!(world.in_service(), world.machines.len(), "{context}");
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
    world.assert_no_violations(&context);
}

/// All machines lose power at any time after the loss of a disk.
#[test]
fn a_power_loss_of_all_machines_at_any_time_of_a_repair_loses_nothing() {
    for instant in (0..REPAIR_DURATION).step_by(LOSS_INTERVAL as usize) {
        let lost = (instant / LOSS_INTERVAL) as usize % 3;
        let context = format!("disk of {lost} lost, power loss at {instant}");
        let mut world = healthy_world(instant, 3, 1);
        lose_disk(&mut world, lost);
        run_counting_replicas(&mut world, instant, 1, &context);
        for index in 0..3 {
            world.drop_pending_calls(index);
            world.stop(index);
            world.schedule_restart(index, 50 + 30 * index as Millis);
        }
        assert_nothing_lost(&mut world, &context);
    }
}

/// Another disk is lost as soon as the previous machine counts as repaired: the disk of the donor,
/// and of every other machine in turn.
#[test]
fn consecutive_disk_losses_after_each_repair_lose_nothing() {
    for seed in 0..12 {
        let first = seed as usize % 3;
        let context = format!("seed {seed}, first {first}");
        let mut world = healthy_world(seed, 3, 1);
        for lost in [first, (first + 1) % 3, (first + 2) % 3, first] {
            lose_disk(&mut world, lost);
            run_counting_replicas(&mut world, 60 + RECOVERY_TIMEOUT, 1, &context);
            assert_eq!(world.in_service(), 3, "{context}");
            // The loss is fully repaired from here on.
            run_counting_replicas(&mut world, 10, 2, &context);
        }
        assert_nothing_lost(&mut world, &context);
    }
}

/// The donor, from which the new disk catches up, is killed, frozen or partitioned at any time
/// during the catch-up.
#[test]
fn a_fault_of_the_donor_at_any_time_of_a_catch_up_loses_nothing() {
    for instant in (0..1_500).step_by(45) {
        for fault in 0..3 {
            let context = format!("fault {fault} at {instant}");
            let mut world = healthy_world(instant + fault, 5, 2);
            let lost = instant as usize % 5;
            lose_disk(&mut world, lost);
            run_counting_replicas(&mut world, instant, 2, &context);
            let donor = world.head().unwrap_or_default();
            match fault {
                0 => world.kill(donor),
                1 => world.freeze(donor),
                _ => world.isolate(donor),
            }
            run_counting_replicas(&mut world, 2_000, 2, &context);
            world.heal();
            run_counting_replicas(&mut world, 4_000, 2, &context);
            assert_nothing_lost(&mut world, &context);
        }
    }
}

/// A member leaves gracefully, and the disk of another member is lost during the leave or shortly
/// after.
#[test]
fn a_graceful_leave_during_a_disk_loss_loses_nothing() {
    for instant in (0..1_200).step_by(60) {
        let context = format!("leave {instant} ms before the disk loss");
        let mut world = healthy_world(instant, 5, 2);
        let now = world.now;
        if let Some(member) = world.machines[1].process.as_mut() {
            member.leave(now);
        }
        run_counting_replicas(&mut world, instant, 3, &context);
        lose_disk(&mut world, 3);
        run_counting_replicas(&mut world, 3_000, 2, &context);
        world.drop_pending_calls(1);
        world.stop(1);
        world.schedule_restart(1, 500);
        run_counting_replicas(&mut world, 3_000, 2, &context);
        assert_nothing_lost(&mut world, &context);
    }
}
