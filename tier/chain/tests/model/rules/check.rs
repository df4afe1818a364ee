//! The invariants.

use std::collections::BTreeSet;

use crate::state::{Ballot, Commit, Identity, Message, View, Violation, World};

/// Records the first invariant that the state violates.
pub(super) fn check(world: &mut World) {
    let violation = conflicting_views(world)
        .or_else(|| ballot_used_twice(world))
        .or_else(|| conflicting_orders(world))
        .or_else(|| lost_operation(world));
    world.violation = world.violation.or(violation);
}

/// Two views of one number.
fn conflicting_views(world: &World) -> Option<Violation> {
    let numbers: BTreeSet<u8> = world.decided.iter().map(|view| view.number).collect();
    (numbers.len() < world.decided.len()).then_some(Violation::ConflictingViews)
}

/// Two views proposed by one ballot.
fn ballot_used_twice(world: &World) -> Option<Violation> {
    let proposals: Vec<_> = world
        .network
        .iter()
        .filter_map(|message| match message {
            Message::Accept { ballot, view, .. } => Some((ballot, view)),
            _ => None,
        })
        .collect();
    let is_in_conflict = |(ballot, view): &(&Ballot, &View)| {
        proposals.iter().any(|(other_ballot, other_view)| {
            other_ballot == ballot && other_view.number == view.number && other_view != view
        })
    };
    proposals
        .iter()
        .any(is_in_conflict)
        .then_some(Violation::BallotUsedTwice)
}

/// Two operations committed at one position.
fn conflicting_orders(world: &World) -> Option<Violation> {
    let is_in_conflict = |one: &Commit| {
        world
            .commits
            .iter()
            .any(|other| one.position == other.position && one.operation != other.operation)
    };
    world
        .commits
        .iter()
        .any(is_in_conflict)
        .then_some(Violation::ConflictingOrders)
}

/// Every later view begins with everything acknowledged, and the members of its chain have it.
fn lost_operation(world: &World) -> Option<Violation> {
    let is_missing = |commit: &Commit| {
        let later = world
            .decided
            .iter()
            .filter(|view| view.number > commit.view);
        let is_base_too_low = later.clone().any(|view| view.base < commit.position);
        let is_missing_at_member = world.machines.iter().zip(0..).any(|(machine, number)| {
            let me = Identity {
                machine: number,
                incarnation: machine.incarnation,
            };
            let is_member =
                machine.view.position(me).is_some() && machine.view.number > commit.view;
            is_member && machine.log.get(commit.position - 1) != Some(&commit.operation)
        });
        is_base_too_low || is_missing_at_member
    };
    world
        .commits
        .iter()
        .any(is_missing)
        .then_some(Violation::Lost)
}
