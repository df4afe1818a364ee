//! A second loss at every instant of a repair or a replacement.
//!
//! | step | synced copies at least | votes at least |
//! | --- | --- | --- |
//! | all in service, f+1 links or more | f+1 | majority of the voters and f more |
//! | a disk is lost (f losses at once) | f+1 less the lost ones, at least 1 | majority |
//! | the chain goes on without it | f+1 for all that is acknowledged from then on | majority |
//! | the new disk has caught up, its view not yet decided | one more than before, which does not count | majority |
//! | the view that takes it in is decided | f+1 without counting the old disk | majority of the new voters |
//! | `catch_up_s` later | f+1 | majority and f more: the next loss may come |
//!
//! The least number of copies is asserted at each step of the world.

use plankhill_chain::Millis;

use crate::world::faults::CATCH_UP;
use crate::world::{Shape, World};

/// From the loss of a disk until it may have been filled, taken in and counted again.
const REPAIR: Millis = 5_000;
/// Between two instants that are tried.
const STEP: Millis = 90;

fn settled(seed: u64, machines: usize, tolerated: usize) -> World {
    let mut world = World::new(
        seed,
        Shape {
            machines,
            seeds: 3,
            tolerated,
            pace: 25,
            planted: None,
        },
    );
    world.run(3_000);
    assert_eq!(world.in_service(), machines, "seed {seed}");
    world
}

/// The process ends and its disk is empty.
fn lose_disk(world: &mut World, at: usize) {
    world.forget_asked(at);
    world.stop(at);
    world.machines[at].disk = Default::default();
    world.restart_after(at, 60);
}

/// Runs in small steps, and counts the copies of all that is acknowledged at each of them.
fn run_counting(world: &mut World, duration: Millis, least: usize, scene: &str) {
    let end = world.now + duration;
    while world.now < end {
        world.run(5.min(end - world.now));
        let seen = world.book.borrow().seen();
        let copies = world
            .machines
            .iter()
            .filter(|machine| machine.disk.holds(seen))
            .count();
        assert!(
            seen == 0 || copies >= least,
            "{scene}: {copies} copies of {seen} at {}",
            world.now
        );
        assert!(
            world.book.borrow().broken.is_empty(),
            "{scene}: {:?}",
            world.book.borrow().broken
        );
    }
}

fn all_is_kept(world: &mut World, scene: &str) {
    world.run(CATCH_UP);
    assert_eq!(world.in_service(), world.machines.len(), "{scene}");
    world.clients_gone = true;
    world.run(1_000);
    for machine in world
        .machines
        .iter()
        .filter_map(|machine| machine.process.as_ref())
    {
        world.book.borrow_mut().kept(&machine.machine().held);
    }
    assert!(
        world.book.borrow().broken.is_empty(),
        "{scene}: {:?}",
        world.book.borrow().broken
    );
}

/// All others lose power at any instant after the loss of a disk.
#[test]
fn all_others_lose_power_at_any_instant_of_a_repair() {
    for instant in (0..REPAIR).step_by(STEP as usize) {
        let lost = (instant / STEP) as usize % 3;
        let scene = format!("disk of {lost}, power at {instant}");
        let mut world = settled(instant, 3, 1);
        lose_disk(&mut world, lost);
        run_counting(&mut world, instant, 1, &scene);
        for at in 0..3 {
            world.forget_asked(at);
            world.stop(at);
            world.restart_after(at, 50 + 30 * at as Millis);
        }
        all_is_kept(&mut world, &scene);
    }
}

/// Another disk is lost as soon as the first machine counts again: the donor's, and every other one in turn.
#[test]
fn the_next_disk_goes_as_soon_as_the_first_counts_again() {
    for seed in 0..12 {
        let first = seed as usize % 3;
        let scene = format!("seed {seed}, first {first}");
        let mut world = settled(seed, 3, 1);
        for lost in [first, (first + 1) % 3, (first + 2) % 3, first] {
            lose_disk(&mut world, lost);
            run_counting(&mut world, 60 + CATCH_UP, 1, &scene);
            assert_eq!(world.in_service(), 3, "{scene}");
            // From here on the loss is repaired in full.
            run_counting(&mut world, 10, 2, &scene);
        }
        all_is_kept(&mut world, &scene);
    }
}

/// The member that fills the new disk is killed, frozen or cut off at any instant of the filling.
#[test]
fn the_donor_goes_at_any_instant_of_the_filling() {
    for instant in (0..1_500).step_by(45) {
        for trouble in 0..3 {
            let scene = format!("trouble {trouble} at {instant}");
            let mut world = settled(instant + trouble, 5, 2);
            let lost = instant as usize % 5;
            lose_disk(&mut world, lost);
            run_counting(&mut world, instant, 2, &scene);
            let donor = world.head().unwrap_or_default();
            match trouble {
                0 => world.kill(donor),
                1 => world.freeze(donor),
                _ => world.isolate(donor),
            }
            run_counting(&mut world, 2_000, 2, &scene);
            world.heal();
            run_counting(&mut world, 4_000, 2, &scene);
            all_is_kept(&mut world, &scene);
        }
    }
}

/// A link leaves in order while the disk of another one is lost.
#[test]
fn a_link_leaves_while_another_one_is_wiped() {
    for instant in (0..1_200).step_by(60) {
        let scene = format!("left {instant} before the loss");
        let mut world = settled(instant, 5, 2);
        let now = world.now;
        if let Some(member) = world.machines[1].process.as_mut() {
            member.leave(now);
        }
        run_counting(&mut world, instant, 3, &scene);
        lose_disk(&mut world, 3);
        run_counting(&mut world, 3_000, 2, &scene);
        world.forget_asked(1);
        world.stop(1);
        world.restart_after(1, 500);
        run_counting(&mut world, 3_000, 2, &scene);
        all_is_kept(&mut world, &scene);
    }
}
