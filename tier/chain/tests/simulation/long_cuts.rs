//! A member that is away for twenty seconds while the others go on: cut off both ways or one way, frozen, in halves.
//!
//! The world checks every read and every acknowledgement at each step; here the member itself is asked all the while.

use plankhill_chain::Millis;

use crate::world::faults::CATCH_UP;
use crate::world::{Shape, World};

/// How long it is away.
const AWAY: Millis = 20_000;
/// Between two questions to it.
const ASKED_EVERY: Millis = 250;
/// A member that hears and reaches nobody knows so after this long.
const KNOWN_WITHIN: Millis = 1_100;
const SEEDS: u64 = 6;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cut {
    BothWays,
    NothingComes,
    NothingLeaves,
    Frozen,
    DiskAway,
}

fn settled(seed: u64, machines: usize, tolerated: usize) -> World {
    let mut world = World::new(
        seed,
        Shape {
            machines,
            seeds: 3,
            tolerated,
            pace: 40,
            planted: None,
        },
    );
    world.run(3_000);
    assert_eq!(world.in_service(), machines, "seed {seed}");
    world
}

fn begin(world: &mut World, at: usize, cut: Cut) {
    let others: Vec<_> = (0..world.machines.len())
        .filter(|other| *other != at)
        .collect();
    let to_it: Vec<_> = others.iter().map(|other| (*other, at)).collect();
    let from_it: Vec<_> = others.iter().map(|other| (at, *other)).collect();
    match cut {
        Cut::BothWays => world.isolate(at),
        Cut::NothingComes => world.cut(&to_it),
        Cut::NothingLeaves => world.cut(&from_it),
        Cut::Frozen => world.machines[at].frozen = true,
        Cut::DiskAway => world.machines[at].stalled_until = world.now + AWAY,
    }
}

/// Asks the member and the others again and again; what the others were told.
fn ask_meanwhile(world: &mut World, at: usize, scene: &str) -> usize {
    let before = world.book.borrow().acknowledgements();
    let end = world.now + AWAY;
    while world.now < end {
        let operation = 5_000_000 + world.now * 10 + at as u64;
        world.propose(at, operation);
        world.run(ASKED_EVERY);
        assert!(
            world.book.borrow().broken.is_empty(),
            "{scene}: {:?}",
            world.book.borrow().broken
        );
    }
    world.book.borrow().acknowledgements() - before
}

fn play(seed: u64, machines: usize, at: usize, cut: Cut) {
    let scene = format!("seed {seed}, {machines} machines, {cut:?} at {at}");
    let mut world = settled(seed, machines, (machines - 1) / 2);
    begin(&mut world, at, cut);
    world.run(KNOWN_WITHIN);
    let claims = world.machines[at]
        .process
        .as_ref()
        .is_some_and(|member| member.is_current(world.now));
    assert!(
        !claims || !matches!(cut, Cut::BothWays | Cut::NothingComes),
        "{scene}: it takes itself for current"
    );
    let told = ask_meanwhile(&mut world, at, &scene);
    assert!(told > 100, "{scene}: {told} acknowledgements");
    world.heal();
    world.thaw(at);
    world.run(CATCH_UP);
    assert_eq!(world.in_service(), machines, "{scene}");
    assert!(
        world.book.borrow().broken.is_empty(),
        "{scene}: {:?}",
        world.book.borrow().broken
    );
}

fn play_all(cut: Cut) {
    for seed in 0..SEEDS {
        for machines in [3, 5] {
            (0..machines).for_each(|at| play(seed, machines, at, cut));
        }
    }
}

#[test]
fn cut_off_both_ways() {
    play_all(Cut::BothWays);
}

#[test]
fn nothing_comes() {
    play_all(Cut::NothingComes);
}

#[test]
fn nothing_leaves() {
    play_all(Cut::NothingLeaves);
}

#[test]
fn frozen_with_its_connections_open() {
    play_all(Cut::Frozen);
}

#[test]
fn with_a_disk_that_does_not_answer() {
    play_all(Cut::DiskAway);
}

/// Neither half of four has a majority; of five the larger one goes on. Both halves are asked all the while.
#[test]
fn halves() {
    for seed in 0..SEEDS {
        for (machines, goes_on) in [(4, false), (5, true)] {
            let scene = format!("seed {seed}, halves of {machines}");
            let mut world = settled(seed, machines, (machines - 1) / 2);
            let crossing = (0..2)
                .flat_map(|one| (2..machines).flat_map(move |other| [(one, other), (other, one)]));
            world.cut(&crossing.collect::<Vec<_>>());
            world.run(4_000);
            let before = world.book.borrow().acknowledgements();
            ask_meanwhile(&mut world, 0, &scene);
            assert_eq!(
                world.book.borrow().acknowledgements() > before,
                goes_on,
                "{scene}"
            );
            world.heal();
            world.run(CATCH_UP);
            assert_eq!(world.in_service(), machines, "{scene}");
            assert!(
                world.book.borrow().broken.is_empty(),
                "{scene}: {:?}",
                world.book.borrow().broken
            );
        }
    }
}
