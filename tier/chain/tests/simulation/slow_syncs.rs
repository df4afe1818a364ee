//! Disks whose syncs take a fixed time, while two operators each make one change after another, and
//! while a member and later the head are stopped and restarted.
//!
//! `cargo test --release -p plankhill-chain --test simulation -- --ignored --nocapture slow_syncs`
//! prints the table of `docs/system/hardening.md`.

use plankhill_chain::Millis;

use crate::single_faults::healthy_world;
use crate::world::faults::FaultMix;
use crate::world::{World, WorldConfig};

/// Durations of a sync, in ms.
const SYNC_TIMES: [Millis; 7] = [50, 100, 200, 300, 450, 600, 900];
/// Number of worlds for each sync time and placement of slow disks.
const SEEDS: u64 = 20;
/// Duration of a measurement, from the time at which the disks become slow.
const DURATION: Millis = 45_000;
/// Time at which a member is stopped; the member restarts after [`ABSENCE_DURATION`].
const MEMBER_STOPS_AT: Millis = 5_000;
/// Time at which the head is stopped; the head restarts after [`ABSENCE_DURATION`].
const HEAD_STOPS_AT: Millis = 25_000;
/// Time from a stop to the restart.
const ABSENCE_DURATION: Millis = 2_000;
/// Interval at which the operators check for acknowledgements.
const POLL_INTERVAL: Millis = 10;
/// Duration of a failover with fast syncs: the timeout of the head, and the agreement on a view.
const FAILOVER_DURATION: Millis = 1_500;
/// Target: the longest time without an acknowledgement is at most this many sync times, or a
/// failover if that takes longer.
const MAX_SYNCS_WITHOUT_ACKNOWLEDGEMENT: Millis = 20;

/// Placement of the slow disks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Placement {
    /// One of three.
    One,
    /// Two of five.
    Minority,
    /// All of three.
    All,
}

impl Placement {
    const EACH: [Self; 3] = [Self::One, Self::Minority, Self::All];

    fn machines(self) -> usize {
        match self {
            Self::One | Self::All => 3,
            Self::Minority => 5,
        }
    }

    fn slow_machines(self, seed: u64) -> Vec<usize> {
        let machines = self.machines();
        let first = seed as usize % machines;
        match self {
            Self::One => vec![first],
            Self::Minority => vec![first, (first + 2) % machines],
            Self::All => (0..machines).collect(),
        }
    }
}

/// A client that makes a change, repeats it until it is acknowledged, and then makes the next one.
struct Operator {
    operation: u64,
    request: u128,
}

impl Operator {
    fn new(world: &mut World, first_operation: u64) -> Self {
        let mut operator = Self {
            operation: first_operation,
            request: 0,
        };
        operator.propose_next(world);
        operator
    }

    fn propose_next(&mut self, world: &mut World) {
        self.operation += 1;
        let index = running_machine(world);
        self.request = world.propose(index, self.operation);
    }

    /// Proposes the next change if the current one has been acknowledged, and proposes the current
    /// one again if its proposal has failed. Returns whether the current change has been
    /// acknowledged.
    fn step(&mut self, world: &mut World) -> bool {
        if world.is_acknowledged(self.operation) {
            self.propose_next(world);
            return true;
        }
        if !world.is_proposal_pending(self.request) {
            let index = running_machine(world);
            world.propose_as(index, self.request, self.operation);
        }
        false
    }
}

fn running_machine(world: &mut World) -> usize {
    let running: Vec<usize> = (0..world.machines.len())
        .filter(|index| world.machines[*index].is_up())
        .collect();
    world.rng.pick(&running).unwrap_or_default()
}

/// Measurements of one world.
#[derive(Clone, Copy, Debug, Default)]
struct Measurement {
    acknowledged: u64,
    longest_gap: Millis,
    views: u64,
}

fn measure(seed: u64, placement: Placement, sync_time: Millis) -> Measurement {
    let context = format!("{placement:?}, {sync_time} ms, seed {seed}");
    let machines = placement.machines();
    let config = WorldConfig {
        machines,
        seeds: machines,
        tolerated_faults: machines / 2,
        operation_interval: 100,
        injected_bug: None,
        fault_mix: FaultMix::Any,
    };
    let mut world = World::healthy(seed, config);
    world.are_clients_stopped = true;
    for index in placement.slow_machines(seed) {
        world.machines[index].sync_time = Some(sync_time);
    }
    let started_at = world.now;
    let views_before = world.newest_view();
    let mut operators = [
        Operator::new(&mut world, 5_000_000),
        Operator::new(&mut world, 6_000_000),
    ];
    let mut measurement = Measurement::default();
    let mut acknowledged_at = started_at;
    while world.now < started_at + DURATION {
        match world.now - started_at {
            MEMBER_STOPS_AT => {
                let member = (world.head().unwrap_or_default() + 1) % machines;
                stop_temporarily(&mut world, member);
            }
            HEAD_STOPS_AT => {
                let head = world.head().unwrap_or_default();
                stop_temporarily(&mut world, head);
            }
            _ => {}
        }
        world.run(POLL_INTERVAL);
        for operator in &mut operators {
            if operator.step(&mut world) {
                measurement.acknowledged += 1;
                acknowledged_at = world.now;
            }
        }
        measurement.longest_gap = measurement.longest_gap.max(world.now - acknowledged_at);
        world.assert_no_violations(&context);
    }
    measurement.views = world.newest_view() - views_before;
    measurement
}

fn stop_temporarily(world: &mut World, index: usize) {
    world.drop_pending_calls(index);
    world.stop(index);
    world.schedule_restart(index, ABSENCE_DURATION);
}

fn max_allowed_gap(sync_time: Millis) -> Millis {
    FAILOVER_DURATION.max(MAX_SYNCS_WITHOUT_ACKNOWLEDGEMENT * sync_time)
}

#[test]
fn acknowledgements_continue_while_syncs_are_slow() {
    for placement in Placement::EACH {
        for sync_time in SYNC_TIMES {
            for seed in 0..2 {
                let measurement = measure(seed, placement, sync_time);
                assert!(
                    measurement.longest_gap <= max_allowed_gap(sync_time),
                    "{placement:?}, {sync_time} ms, seed {seed}: {measurement:?}"
                );
            }
        }
    }
}

/// Maximum time from a disk becoming slow, or fast again, until the chain is reconfigured.
const ADJUSTMENT_LIMIT: Millis = 6_000;
/// Maximum time from the loss of a member until the chain continues without it.
const RECOVERY_LIMIT: Millis = 1_500;

/// Indices of the machines in the chain of the newest view.
fn chain_of(world: &World) -> Vec<usize> {
    let members = world.machines.iter().filter_map(|machine| {
        let member = machine.process.as_ref()?;
        Some(member.view())
    });
    let Some(newest) = members.max_by_key(|view| view.number) else {
        return Vec::new();
    };
    (0..world.machines.len())
        .filter(|index| newest.chain.contains(&world.machines[*index].node))
        .collect()
}

#[test]
fn a_member_with_a_slow_disk_leaves_the_chain_and_rejoins_once_the_disk_is_fast() {
    for seed in 0..10 {
        for slow in 0..3 {
            let context = format!("seed {seed}, machine {slow}");
            let mut world = healthy_world(seed);
            world.machines[slow].sync_time = Some(200);
            world.run(ADJUSTMENT_LIMIT);
            assert!(!chain_of(&world).contains(&slow), "{context}");
            assert_eq!(chain_of(&world).len(), 2, "{context}");
            let view = world.newest_view();
            world.run(20_000);
            assert_eq!(
                world.newest_view(),
                view,
                "{context}: the member stays out of the chain"
            );
            world.are_clients_stopped = true;
            world.machines[slow].sync_time = None;
            world.run(ADJUSTMENT_LIMIT);
            assert_eq!(chain_of(&world).len(), 3, "{context}: without any load");
            world.assert_no_violations(&context);
        }
    }
}

#[test]
fn no_member_leaves_when_most_disks_are_slow() {
    for seed in 0..10 {
        for fast in [None, Some(0), Some(1), Some(2)] {
            let context = format!("seed {seed}, fast {fast:?}");
            let mut world = healthy_world(seed);
            let view = world.newest_view();
            for index in (0..3).filter(|index| Some(*index) != fast) {
                world.machines[index].sync_time = Some(350);
            }
            world.run(30_000);
            assert_eq!(world.newest_view(), view, "{context}");
            world.assert_no_violations(&context);
        }
    }
}

/// A chain with a slow replica is preferred to a chain that is too short.
#[test]
fn a_member_with_a_slow_disk_joins_if_the_chain_would_be_too_short() {
    for seed in 0..10 {
        let slow = seed as usize % 3;
        let context = format!("seed {seed}, machine {slow}");
        let mut world = healthy_world(seed);
        world.machines[slow].sync_time = Some(200);
        world.run(ADJUSTMENT_LIMIT);
        let stopped = (slow + 1) % 3;
        world.drop_pending_calls(stopped);
        world.stop(stopped);
        world.run(ADJUSTMENT_LIMIT);
        let chain = chain_of(&world);
        assert!(chain.contains(&slow), "{context}: {chain:?}");
        assert!(!chain.contains(&stopped), "{context}: {chain:?}");
        world.schedule_restart(stopped, 1);
        world.run(ADJUSTMENT_LIMIT);
        let chain = chain_of(&world);
        assert!(!chain.contains(&slow), "{context}: {chain:?}");
        assert_eq!(chain.len(), 2, "{context}");
        world.assert_no_violations(&context);
    }
}

/// Two members of five with slow disks stay in the chain while another member is down, since the
/// chain would be too short without them. The failure of the other member has to be detected
/// nevertheless.
#[test]
fn a_dead_member_leaves_a_chain_that_needs_its_members_with_slow_disks() {
    for stops_after in (0..1_500).step_by(100) {
        let seed = stops_after / 100;
        let context = format!("stopped {stops_after} ms after the disks became slow");
        let config = WorldConfig {
            machines: 5,
            seeds: 5,
            tolerated_faults: 2,
            operation_interval: 50,
            injected_bug: None,
            fault_mix: FaultMix::Any,
        };
        let mut world = World::healthy(seed, config);
        let first = seed as usize % 5;
        let [slow, other_slow, stopped] = [first, (first + 2) % 5, (first + 3) % 5];
        world.machines[slow].sync_time = Some(100);
        world.machines[other_slow].sync_time = Some(100);
        world.run(stops_after);
        world.drop_pending_calls(stopped);
        world.stop(stopped);
        world.run(RECOVERY_LIMIT);
        let chain = chain_of(&world);
        assert!(!chain.contains(&stopped), "{context}: {chain:?}");
        assert!(chain.len() >= 3, "{context}: {chain:?}");
        world.assert_no_violations(&context);
    }
}

/// With syncs of 0.9 s, a batch waits for two of them; the disk is nevertheless working.
#[test]
fn a_disk_with_long_syncs_is_not_considered_stalled() {
    for seed in 0..10 {
        let context = format!("seed {seed}");
        let mut world = healthy_world(seed);
        for machine in &mut world.machines {
            machine.sync_time = Some(900);
        }
        let acknowledged = world.history.borrow().highest_observed();
        world.run(20_000);
        let more = world.history.borrow().highest_observed() - acknowledged;
        assert!(more >= 5, "{context}: {more}");
        assert_eq!(world.in_service(), 3, "{context}");
        world.assert_no_violations(&context);
    }
}

#[test]
#[ignore = "prints the table of docs/system/hardening.md; takes a minute in a release build"]
fn table_of_slow_syncs() {
    println!(
        "| disks | sync, ms | acknowledged a second | longest gap, ms | over the aim | views |"
    );
    for placement in Placement::EACH {
        for sync_time in SYNC_TIMES {
            let mut total = Measurement::default();
            let mut over_the_aim = 0;
            for seed in 0..SEEDS {
                let measurement = measure(seed, placement, sync_time);
                total.acknowledged += measurement.acknowledged;
                total.longest_gap = total.longest_gap.max(measurement.longest_gap);
                total.views += measurement.views;
                if measurement.longest_gap > max_allowed_gap(sync_time) {
                    over_the_aim += 1;
                }
            }
            let seconds = (SEEDS * DURATION) as f64 / 1_000.0;
            println!(
                "| {placement:?} | {sync_time} | {:.1} | {} | {over_the_aim} of {SEEDS} | {:.1} |",
                total.acknowledged as f64 / seconds,
                total.longest_gap,
                total.views as f64 / SEEDS as f64,
            );
        }
    }
}
