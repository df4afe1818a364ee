//! Single faults, and how soon all others are served again.

use plankhill_chain::Millis;

use crate::world::{Shape, World};

/// From a fault until acknowledgements flow again; well under the 4 s in which a stable core has to acknowledge.
const BACK_WITHIN: Millis = 1_500;
/// From a proposal to its acknowledgement once they flow.
const ANSWERED_WITHIN: Millis = 600;
/// Worlds for each scene.
const SEEDS: u64 = 10;

fn settled(seed: u64) -> World {
    let mut world = World::new(
        seed,
        Shape {
            machines: 3,
            seeds: 3,
            tolerated: 1,
            pace: 50,
            planted: None,
        },
    );
    world.run(3_000);
    assert_eq!(world.in_service(), 3, "seed {seed}");
    world
}

/// All these machines get an operation acknowledged that nobody has proposed before.
fn are_served(world: &mut World, machines: &[usize], scene: &str) {
    let first = 2_000_000 + 10 * world.now;
    let operations: Vec<_> = machines
        .iter()
        .map(|at| (*at, first + *at as u64))
        .collect();
    for (at, operation) in &operations {
        world.propose(*at, *operation);
    }
    world.run(ANSWERED_WITHIN);
    for (at, operation) in operations {
        assert!(world.is_acknowledged(operation), "{scene}: machine {at}");
    }
    assert!(
        world.book.borrow().broken.is_empty(),
        "{scene}: {:?}",
        world.book.borrow().broken
    );
}

fn others(at: usize) -> Vec<usize> {
    (0..3).filter(|other| *other != at).collect()
}

fn each(mut scene: impl FnMut(World, usize, &str)) {
    for seed in 0..SEEDS {
        for at in 0..3 {
            scene(settled(seed), at, &format!("seed {seed}, machine {at}"));
        }
    }
}

#[test]
fn without_any_link_the_others_go_on() {
    each(|mut world, at, scene| {
        world.stop(at);
        world.run(BACK_WITHIN);
        are_served(&mut world, &others(at), scene);
    });
}

#[test]
fn with_a_disk_that_does_not_answer_the_others_go_on() {
    each(|mut world, at, scene| {
        world.machines[at].stalled_until = Millis::MAX;
        world.run(BACK_WITHIN + 1_000);
        are_served(&mut world, &others(at), scene);
    });
}

/// Batches that may wait for a disk that refuses to write, however long it does.
const MOST_WAITING: usize = 8;

#[test]
fn with_a_full_disk_the_others_go_on_and_take_it_back() {
    each(|mut world, at, scene| {
        world.machines[at].full_until = world.now + 60_000;
        // It is told by the first write that is refused.
        world.run(BACK_WITHIN);
        are_served(&mut world, &others(at), scene);
        assert_eq!(world.in_service(), 2, "{scene}");
        world.run(55_000);
        let waiting = world.machines[at].disk.waiting.len();
        assert!(waiting <= MOST_WAITING, "{scene}: {waiting} batches wait");
        assert!(world.machines[at].is_up(), "{scene}");
        world.run(3_500 + BACK_WITHIN);
        assert_eq!(world.in_service(), 3, "{scene}");
        are_served(&mut world, &[0, 1, 2], scene);
    });
}

/// What the full disk holds back was acknowledged by nobody, and what the others have is not lost with it.
#[test]
fn a_loss_of_power_behind_a_full_disk_loses_nothing() {
    each(|mut world, at, scene| {
        world.machines[at].full_until = Millis::MAX;
        let request = world.propose(at, 3_000_000);
        world.run(BACK_WITHIN);
        are_served(&mut world, &others(at), scene);
        (0..3).for_each(|machine| world.stop(machine));
        world.machines[at].full_until = 0;
        (0..3).for_each(|machine| world.restart_after(machine, 10 + machine as Millis * 40));
        world.run(4_000);
        assert_eq!(world.in_service(), 3, "{scene}, {request}");
        are_served(&mut world, &[0, 1, 2], scene);
    });
}

#[test]
fn a_machine_cut_off_says_so_at_once() {
    each(|mut world, at, scene| {
        world.isolate(at);
        world.run(BACK_WITHIN);
        let request = world.propose(at, 3_000_000);
        assert!(!world.is_proposed(request), "{scene}");
        are_served(&mut world, &others(at), scene);
    });
}

#[test]
fn cut_in_one_direction_all_are_served() {
    for seed in 0..SEEDS {
        for (from, to) in [(0, 1), (1, 0), (0, 2), (2, 0), (1, 2), (2, 1)] {
            let mut world = settled(seed);
            world.cut(&[(from, to)]);
            world.run(BACK_WITHIN + 1_000);
            are_served(
                &mut world,
                &[0, 1, 2],
                &format!("seed {seed}, cut {from} to {to}"),
            );
        }
    }
}

#[test]
fn a_frozen_head_acknowledges_nothing_of_its_own_when_it_wakes() {
    for seed in 0..SEEDS {
        let mut world = settled(seed);
        let head = world.head().unwrap();
        let lost = world.propose(head, 3_000_000);
        world.machines[head].frozen = true;
        world.run(BACK_WITHIN);
        are_served(&mut world, &others(head), &format!("seed {seed}"));
        world.thaw(head);
        world.run(4_000);
        // It may get its own operation into the later view, by the later head; the order is one in any case.
        assert!(!world.is_proposed(lost));
        assert!(world.book.borrow().broken.is_empty());
        assert_eq!(world.in_service(), 3);
    }
}
