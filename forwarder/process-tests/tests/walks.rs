//! Walks that draw faults. `PLANKHILL_SEEDS=40` plays as many more than CI does; a failure shows its seed
//! and steps.

use plankhill_process_tests::*;
use rstest::rstest;

const STEPS: usize = 14;
/// Seeds on call begin here.
const MORE: u64 = 1_000;

fn play(mut world: World, mut walk: Walk, seed: u64) {
    let load = world.load(seed, 6);
    for _ in 0..STEPS {
        walk.step(&mut world);
        load.until_taken(10);
    }
    walk.undo_all(&mut world);
    load.until_taken(30);
    load.stop();
    world.verdict();
}

fn alone(seed: u64) {
    play(World::started(3), Walk::new(seed, 3, 2, false), seed);
}

#[rstest]
fn forwarders_each_for_itself_keep_their_word(#[values(1, 2, 3, 4)] seed: u64) {
    alone(seed);
}

/// Copies are made up again before the next machine is lost: two at once are more than they bear.
fn copied(seed: u64) {
    play(World::copied(3), Walk::new(seed, 3, 1, true), seed);
}

#[rstest]
fn instances_with_copies_keep_their_word(#[values(1, 2, 3)] seed: u64) {
    copied(seed);
}

#[rstest]
#[case(alone)]
#[case(copied)]
fn more_seeds_on_call(#[case] walk: fn(u64)) {
    let more =
        std::env::var("PLANKHILL_SEEDS").map_or(0, |number| number.parse().expect("a number"));
    (MORE..MORE + more).for_each(walk);
}
