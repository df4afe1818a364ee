//! What must hold in every state.

use std::collections::BTreeSet;

use crate::state::{Ballot, Broken, Commit, Identity, Message, View, World};

/// What must hold in every state.
pub(super) fn check(world: &mut World) {
    let broken = two_views(world)
        .or_else(|| ballot_used_twice(world))
        .or_else(|| two_orders(world))
        .or_else(|| lost(world));
    world.broken = world.broken.or(broken);
}

pub(super) fn two_views(world: &World) -> Option<Broken> {
    let numbers: BTreeSet<u8> = world.decided.iter().map(|view| view.number).collect();
    (numbers.len() < world.decided.len()).then_some(Broken::TwoViews)
}

pub(super) fn ballot_used_twice(world: &World) -> Option<Broken> {
    let asked: Vec<_> = world
        .network
        .iter()
        .filter_map(|message| match message {
            Message::Accept { ballot, view, .. } => Some((ballot, view)),
            _ => None,
        })
        .collect();
    let clash = |(ballot, view): &(&Ballot, &View)| {
        asked
            .iter()
            .any(|(other, asked)| other == ballot && asked.number == view.number && asked != view)
    };
    asked.iter().any(clash).then_some(Broken::BallotUsedTwice)
}

pub(super) fn two_orders(world: &World) -> Option<Broken> {
    let clash = |one: &Commit| {
        world
            .commits
            .iter()
            .any(|other| one.position == other.position && one.operation != other.operation)
    };
    world.commits.iter().any(clash).then_some(Broken::TwoOrders)
}

/// Every later view begins with what was acknowledged, and its links have it.
pub(super) fn lost(world: &World) -> Option<Broken> {
    let missing = |commit: &Commit| {
        let later = world
            .decided
            .iter()
            .filter(|view| view.number > commit.view);
        let too_low = later.clone().any(|view| view.base < commit.position);
        let not_held = world.machines.iter().zip(0..).any(|(machine, number)| {
            let me = Identity {
                machine: number,
                life: machine.life,
            };
            let is_link = machine.view.place(me).is_some() && machine.view.number > commit.view;
            is_link && machine.log.get(commit.position - 1) != Some(&commit.operation)
        });
        too_low || not_held
    };
    world.commits.iter().any(missing).then_some(Broken::Lost)
}
