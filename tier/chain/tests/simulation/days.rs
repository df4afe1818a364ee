//! The chain under seeded faults in virtual time.

use crate::world::faults::CATCH_UP;
use crate::world::{Shape, World};

/// Worlds for each shape; debug builds are some ten times slower.
const SEEDS: u64 = if cfg!(debug_assertions) { 40 } else { 400 };

/// Runs one world to the end and says what broke.
fn play(seed: u64, shape: Shape) -> Result<usize, String> {
    let mut world = World::new(seed, shape);
    world.strike = seed.is_multiple_of(2);
    world.run(2_500);
    world.trouble();
    world.run(25_000);
    world.calm();
    world.run(CATCH_UP);
    settle(&mut world)?;
    let book = world.book.borrow();
    book.broken
        .values()
        .next()
        .cloned()
        .map_or(Ok(book.acknowledgements()), Err)
}

/// After calm has returned: everyone serves, everyone is answered, everything acknowledged is there.
fn settle(world: &mut World) -> Result<(), String> {
    let up: Vec<_> = (0..world.machines.len())
        .filter(|at| world.machines[*at].is_up())
        .collect();
    if world.book.borrow().broken.is_empty() && world.in_service() < up.len() {
        let views: Vec<_> = up
            .iter()
            .filter_map(|at| world.machines[*at].process.as_ref())
            .map(|member| member.view())
            .collect();
        return Err(format!(
            "only {} of {} in service: {views:?}",
            world.in_service(),
            up.len()
        ));
    }
    let requests: Vec<_> = up
        .iter()
        .map(|at| world.propose(*at, 1_000_000 + *at as u64))
        .collect();
    world.run(1_000);
    if world.book.borrow().broken.is_empty()
        && requests.iter().any(|request| world.is_proposed(*request))
    {
        return Err("a proposal was not answered after calm had returned".into());
    }
    world.clients_gone = true;
    world.run(1_000);
    for at in up {
        let held = world.machines[at]
            .process
            .as_ref()
            .map(|member| member.machine().held.clone());
        world.book.borrow_mut().kept(&held.unwrap_or_default());
    }
    Ok(())
}

fn play_all(shape: &Shape) {
    let mut acknowledged = 0;
    for seed in 0..SEEDS {
        match play(seed, shape.clone()) {
            Ok(count) => acknowledged += count,
            Err(what) => panic!("seed {seed}: {what}"),
        }
    }
    assert!(
        acknowledged as u64 > SEEDS * 50,
        "{acknowledged} operations were acknowledged in {SEEDS} worlds"
    );
}

#[test]
fn three_machines_that_bear_one_loss() {
    play_all(&Shape {
        machines: 3,
        seeds: 3,
        tolerated: 1,
        pace: 40,
        planted: None,
    });
}

#[test]
fn five_machines_that_bear_two_losses() {
    play_all(&Shape {
        machines: 5,
        seeds: 3,
        tolerated: 2,
        pace: 60,
        planted: None,
    });
}

#[test]
fn four_machines_that_bear_one_loss() {
    play_all(&Shape {
        machines: 4,
        seeds: 3,
        tolerated: 1,
        pace: 60,
        planted: None,
    });
}
