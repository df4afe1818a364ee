//! The chain under random faults derived from a seed.

use crate::world::faults::{FaultMix, RECOVERY_TIMEOUT};
use crate::world::{World, WorldConfig};

/// Number of worlds for each configuration; debug builds are about ten times slower.
const SEEDS: u64 = if cfg!(debug_assertions) { 40 } else { 400 };

/// Runs one world to the end. Returns the number of acknowledged operations, or the first
/// violation.
fn run_world(seed: u64, config: WorldConfig) -> Result<usize, String> {
    let mut world = World::new(seed, config);
    world.fault_after_acknowledgement = seed.is_multiple_of(2);
    world.run(2_500);
    world.start_faults();
    world.run(25_000);
    world.stop_faults();
    world.run(RECOVERY_TIMEOUT);
    check_recovered(&mut world)?;
    let history = world.history.borrow();
    history
        .violations
        .values()
        .next()
        .cloned()
        .map_or(Ok(history.acknowledgements()), Err)
}

/// Checks a world whose faults have ended: all members are in service, all clients get answers, and
/// no acknowledged operation is lost.
fn check_recovered(world: &mut World) -> Result<(), String> {
    let running: Vec<_> = (0..world.machines.len())
        .filter(|index| world.machines[*index].is_up())
        .collect();
    if world.history.borrow().violations.is_empty() && world.in_service() < running.len() {
        let views: Vec<_> = running
            .iter()
            .filter_map(|index| world.machines[*index].process.as_ref())
            .map(|member| member.view())
            .collect();
        return Err(format!(
            "only {} of {} in service: {views:?}",
            world.in_service(),
            running.len()
        ));
    }
    let requests: Vec<_> = running
        .iter()
        .map(|index| world.propose(*index, 1_000_000 + *index as u64))
        .collect();
    world.run(1_000);
    if world.history.borrow().violations.is_empty()
        && requests
            .iter()
            .any(|request| world.is_proposal_pending(*request))
    {
        return Err("a proposal was not answered after the faults had ended".into());
    }
    world.are_clients_stopped = true;
    world.run(1_000);
    for index in running {
        let applied = world.machines[index]
            .process
            .as_ref()
            .map(|member| member.machine().applied.clone());
        world
            .history
            .borrow_mut()
            .check_nothing_lost(&applied.unwrap_or_default());
    }
    Ok(())
}

fn run_all(config: &WorldConfig) {
    let mut acknowledged = 0;
    for seed in 0..SEEDS {
        match run_world(seed, config.clone()) {
            Ok(count) => acknowledged += count,
            Err(violation) => panic!("seed {seed}: {violation}"),
        }
    }
    assert!(
        acknowledged as u64 > SEEDS * 50,
        "{acknowledged} operations were acknowledged in {SEEDS} worlds"
    );
}

#[test]
fn three_machines_tolerate_one_fault() {
    run_all(&WorldConfig {
        machines: 3,
        seeds: 3,
        tolerated_faults: 1,
        operation_interval: 40,
        injected_bug: None,
        fault_mix: FaultMix::Any,
    });
}

#[test]
fn five_machines_tolerate_two_faults() {
    run_all(&WorldConfig {
        machines: 5,
        seeds: 3,
        tolerated_faults: 2,
        operation_interval: 60,
        injected_bug: None,
        fault_mix: FaultMix::Any,
    });
}

#[test]
fn four_machines_tolerate_one_fault() {
    run_all(&WorldConfig {
        machines: 4,
        seeds: 3,
        tolerated_faults: 1,
        operation_interval: 60,
        injected_bug: None,
        fault_mix: FaultMix::Any,
    });
}
