//! All machines lose power at once and come back one after the other.

use plankhill_chain::Millis;

use crate::world::{Shape, World};

/// Five machines that are back within so long of each other.
const APART: [Millis; 5] = [900, 960, 1_170, 1_180, 1_200];

/// Until connections to machines that have just come up stand: one staggered attempt and a way.
const DIALED_WITHIN: Millis = 200;
/// From the last start until every machine is current.
const CURRENT_WITHIN: Millis = 500;
/// The same where all connections come up at once: some ways between the machines, no heartbeat's pause.
const CURRENT_AT_ONCE: Millis = 60;

/// The first of the five machines to come back.
fn first_back(seed: u64) -> usize {
    seed as usize % 5
}

/// Five machines that have all lost power just now, and come back one after the other; and the view that they had.
fn all_off(seed: u64) -> (World, u64) {
    let mut world = World::new(
        seed,
        Shape {
            machines: 5,
            seeds: 3,
            tolerated: 2,
            pace: 50,
            planted: None,
        },
    );
    world.run(4_000);
    assert_eq!(world.in_service(), 5, "seed {seed}");
    let view = world.newest_view();
    (0..5).for_each(|at| world.stop(at));
    for (place, delay) in APART.into_iter().enumerate() {
        world.restart_after((first_back(seed) + place) % 5, delay);
    }
    (world, view)
}

/// Five machines that all lost power and are all back; the first to come is not heard by the others for so long after
/// the last start. Says by how many views they are further.
fn back(seed: u64, unheard: Millis) -> (World, u64) {
    let (mut world, view) = all_off(seed);
    let first = first_back(seed);
    let unheard_by: Vec<_> = (0..5)
        .filter(|at| *at != first)
        .map(|at| (first, at))
        .collect();
    world.cut(&unheard_by);
    world.run(APART[4] + unheard);
    world.heal();
    world.run(CURRENT_WITHIN);
    let further = world.newest_view() - view;
    (world, further)
}

#[test]
fn all_machines_that_were_off_go_on_in_their_view() {
    for seed in 0..20 {
        let (world, further) = back(seed, DIALED_WITHIN);
        assert_eq!(further, 0, "seed {seed}");
        assert!(world.all_current(), "seed {seed}");
    }
}

#[test]
fn machines_that_were_off_are_current_without_waiting_for_the_next_heartbeats() {
    for seed in 0..20 {
        let (mut world, _) = all_off(seed);
        world.run(APART[4] + CURRENT_AT_ONCE);
        assert!(world.all_current(), "seed {seed}");
    }
}

/// What a dial that hangs costs: a machine that is not heard for 0.6 s is left out, and taken in again by a second view.
#[test]
fn a_machine_whose_dials_hang_is_left_out() {
    assert!((0..20).all(|seed| back(seed, 700).1 > 0));
}
