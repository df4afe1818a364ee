//! What must hold in every state.

use std::collections::BTreeSet;

use crate::state::{Ballot, Commit, Identity, Message, View, Violation, World};

/// What must hold in every state.
pub(super) fn check(world: &mut World) {
    let violation = conflicting_views(world)
        .or_else(|| ballot_used_twice(world))
        .or_else(|| conflicting_orders(world))
        .or_else(|| lost_operation(world));
    world.violation = world.violation.or(violation);
}

pub(super) fn conflicting_views(world: &World) -> Option<Violation> {
    let numbers: BTreeSet<u8> = world.decided.iter().map(|view| view.number).collect();
    (numbers.len() < world.decided.len()).then_some(Violation::ConflictingViews)
}

pub(super) fn ballot_used_twice(world: &World) -> Option<Violation> {
    let proposed_view: Vec<_> = world
        .network
        .iter()
        .filter_map(|message| match message {
            Message::Accept { ballot, view, .. } => Some((ballot, view)),
            _ => None,
        })
        .collect();
    let clash = |(ballot, view): &(&Ballot, &View)| {
        proposed_view.iter().any(|(other, proposed_view)| {
            other == ballot && proposed_view.number == view.number && proposed_view != view
        })
    };
    proposed_view
        .iter()
        .any(clash)
        .then_some(Violation::BallotUsedTwice)
}

pub(super) fn conflicting_orders(world: &World) -> Option<Violation> {
    let clash = |one: &Commit| {
        world
            .commits
            .iter()
            .any(|other| one.position == other.position && one.operation != other.operation)
    };
    world
        .commits
        .iter()
        .any(clash)
        .then_some(Violation::ConflictingOrders)
}

/// Every later view begins with what was acknowledged, and its links have it.
pub(super) fn lost_operation(world: &World) -> Option<Violation> {
    let missing = |commit: &Commit| {
        let later = world
            .decided
            .iter()
            .filter(|view| view.number > commit.view);
        let too_low = later.clone().any(|view| view.base < commit.position);
        let not_held = world.machines.iter().zip(0..).any(|(machine, number)| {
            let me = Identity {
                machine: number,
                incarnation: machine.incarnation,
            };
            let is_link = machine.view.position(me).is_some() && machine.view.number > commit.view;
            is_link && machine.log.get(commit.position - 1) != Some(&commit.operation)
        });
        too_low || not_held
    };
    world.commits.iter().any(missing).then_some(Violation::Lost)
}
