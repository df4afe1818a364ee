//! Each rule of the simulated world finds the mistake that it is there for.

use crate::world::checker::Rule;
use crate::world::faults::{Planted, CATCH_UP};
use crate::world::{Shape, World};

/// Worlds in which a planted mistake has to show.
const SEEDS: u64 = 300;

/// Whether a world with this mistake breaks the rule.
fn finds(planted: Planted, rule: Rule) {
    let shape = Shape {
        machines: 3,
        seeds: 3,
        tolerated: 1,
        pace: 25,
        planted: Some(planted),
    };
    let found = (0..SEEDS).any(|seed| play(seed, shape.clone()).contains(&rule));
    assert!(found, "{planted:?} never broke {rule:?}");
}

/// All that breaks in one world.
fn play(seed: u64, shape: Shape) -> Vec<Rule> {
    let mut world = World::new(seed, shape);
    world.strike = true;
    world.run(2_500);
    world.trouble();
    world.run(25_000);
    world.calm();
    world.run(CATCH_UP);
    let everyone = world
        .machines
        .iter()
        .filter(|machine| machine.is_up())
        .count();
    if world.in_service() < everyone {
        world
            .book
            .borrow_mut()
            .fail(Rule::Service, "not all in service".into());
    }
    world.clients_gone = true;
    world.run(1_000);
    for machine in world
        .machines
        .iter()
        .filter_map(|machine| machine.process.as_ref())
    {
        world.book.borrow_mut().kept(&machine.machine().held);
    }
    let broken = world.book.borrow().broken.keys().copied().collect();
    broken
}

#[test]
fn disks_that_lie_about_syncs() {
    finds(Planted::DiskLies, Rule::Copies);
    finds(Planted::DiskLies, Rule::Kept);
}

#[test]
fn lost_disks_that_keep_their_votes() {
    finds(Planted::IncarnationKept, Rule::OneOrder);
}

#[test]
fn promises_that_are_forgotten() {
    finds(Planted::PromisesForgotten, Rule::OneView);
}

#[test]
fn acknowledgements_with_too_few_copies() {
    finds(Planted::AnyCopies, Rule::Copies);
}

#[test]
fn a_former_tail_that_answers_reads() {
    finds(Planted::AlwaysConfirmed, Rule::Reads);
}

#[test]
fn messages_of_former_views_that_pass() {
    finds(Planted::ViewsIgnored, Rule::OneOrder);
}

#[test]
fn repeats_that_are_taken_for_new_proposals() {
    finds(Planted::RepeatsUnnamed, Rule::Once);
}

#[test]
fn outcomes_that_are_told_wrong() {
    finds(Planted::OutcomesAltered, Rule::OneOutcome);
    finds(Planted::OutcomesAltered, Rule::Kept);
}

#[test]
fn decisions_that_nobody_hears_of() {
    finds(Planted::DecisionsLost, Rule::Service);
}
