//! A power loss at all machines at once, with restarts one after the other.

use plankhill_chain::Millis;

use crate::world::faults::FaultMix;
use crate::world::{World, WorldConfig};

/// Delays from the power loss to the restart of each of five machines, in ms.
const RESTART_DELAYS: [Millis; 5] = [900, 960, 1_170, 1_180, 1_200];

/// Time until connections to machines that have just restarted are established: one staggered
/// connection attempt and one one-way delay.
const CONNECT_DURATION: Millis = 200;
/// Maximum time until every machine is current once all connections are established.
const CURRENT_LIMIT: Millis = 500;
/// Maximum time from the last restart until every machine is current if all connections are
/// established at once: a few one-way delays between the machines, without waiting for a heartbeat
/// interval.
const IMMEDIATE_CURRENT_LIMIT: Millis = 60;

/// Index of the first of the five machines to restart.
fn first_to_restart(seed: u64) -> usize {
    seed as usize % 5
}

/// Runs five machines, cuts the power of all of them, and schedules their restarts one after the
/// other. Returns the world and the number of the newest view before the power loss.
fn after_power_loss(seed: u64) -> (World, u64) {
    let mut world = World::new(
        seed,
        WorldConfig {
            machines: 5,
            seeds: 3,
            tolerated_faults: 2,
            operation_interval: 50,
            injected_bug: None,
            fault_mix: FaultMix::Any,
        },
    );
    world.run(4_000);
    assert_eq!(world.in_service(), 5, "seed {seed}");
    let view = world.newest_view();
    for index in 0..5 {
        world.stop(index);
    }
    for (position, delay) in RESTART_DELAYS.into_iter().enumerate() {
        world.schedule_restart((first_to_restart(seed) + position) % 5, delay);
    }
    (world, view)
}

/// Restarts five machines after a power loss. Messages of the first machine do not reach the others
/// until `partitioned_for` ms after the last restart. Returns the world and the number of views
/// decided since the power loss.
fn restart_all(seed: u64, partitioned_for: Millis) -> (World, u64) {
    let (mut world, view) = after_power_loss(seed);
    let first = first_to_restart(seed);
    let partitions: Vec<_> = (0..5)
        .filter(|index| *index != first)
        .map(|index| (first, index))
        .collect();
    world.partition(&partitions);
    world.run(RESTART_DELAYS[4] + partitioned_for);
    world.heal();
    world.run(CURRENT_LIMIT);
    let views_since = world.newest_view() - view;
    (world, views_since)
}

#[test]
fn a_power_loss_at_all_machines_does_not_change_the_view() {
    for seed in 0..20 {
        let (world, views_since) = restart_all(seed, CONNECT_DURATION);
        assert_eq!(views_since, 0, "seed {seed}");
        assert!(world.all_current(), "seed {seed}");
    }
}

#[test]
fn after_a_power_loss_members_are_current_without_a_heartbeat_interval() {
    for seed in 0..20 {
        let (mut world, _) = after_power_loss(seed);
        world.run(RESTART_DELAYS[4] + IMMEDIATE_CURRENT_LIMIT);
        assert!(world.all_current(), "seed {seed}");
    }
}

/// The cost of a connection attempt that hangs: a machine without a heartbeat for 0.6 s is removed
/// from the chain, and rejoins in a second view.
#[test]
fn a_member_whose_connection_attempts_hang_is_removed_from_the_chain() {
    assert!((0..20).all(|seed| restart_all(seed, 700).1 > 0));
}
