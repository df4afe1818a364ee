//! Operations on their way down the chain.

use crate::model::{Bounds, InjectedBug};
use crate::state::{Commit, Identity, Message, Violation, World};

use super::{identity, is_sealed, machine_of, machine_of_mut, REQUIRED_MEMBERS};

/// A link has an operation on disk and passes it on; the message may come whenever it likes.
pub(super) fn push(world: &mut World, link: u8, operation: u8) {
    let from = identity(world, link);
    let machine = machine_of_mut(world, link);
    let (view, previous) = (machine.view.number, machine.log.len());
    machine.log.push(operation);
    if !machine.view.is_tail(from) {
        world.network.insert(Message::Append {
            view,
            from,
            previous,
            operation,
        });
    }
}

pub(super) fn commit_at_tail(bounds: &Bounds, world: &mut World, tail: u8) {
    let machine = machine_of(world, tail);
    let enough = if bounds.has_bug(InjectedBug::ShortChain) {
        1
    } else {
        REQUIRED_MEMBERS
    };
    if machine.view.chain.len() < enough {
        return;
    }
    let (view, revision) = (machine.view.number, machine.log.len());
    commit(world, tail, revision);
    // Only a member that skips a view needs the tail's word.
    if bounds.views > 2 {
        world.network.insert(Message::Committed { view, revision });
    }
}

/// A machine knows that everything up to here is committed, and whoever asks it is told so.
pub(super) fn commit(world: &mut World, machine: u8, revision: usize) {
    let known = machine_of_mut(world, machine);
    let (view, before) = (known.view.number, known.committed);
    known.committed = before.max(revision.min(known.log.len()));
    let new: Vec<_> = (before..known.committed)
        .map(|position| Commit {
            view,
            position: position + 1,
            operation: known.log[position],
        })
        .collect();
    for commit in new {
        let copies = world
            .machines
            .iter()
            .filter(|other| other.log.get(commit.position - 1) == Some(&commit.operation));
        // A disk that was lost since cannot count: the tail's word came before, or it is a loss
        // that is borne.
        if copies.count() + usize::from(world.wipes) < REQUIRED_MEMBERS {
            world.violation = Some(Violation::TooFewReplicas);
        }
        world.commits.insert(commit);
    }
}

pub(super) fn on_append(
    bounds: &Bounds,
    world: &mut World,
    to: u8,
    view: u8,
    from: Identity,
    previous: usize,
    operation: u8,
) {
    let me = identity(world, to);
    let machine = machine_of(world, to);
    let position = machine
        .view
        .position(me)
        .and_then(|position| position.checked_sub(1));
    let before = position.map(|position| machine.view.chain[position]);
    let is_due =
        machine.view.number == view && before == Some(from.machine) && machine.view.votes(from);
    if is_due && !is_sealed(bounds, machine) && machine.log.len() == previous {
        push(world, to, operation);
    }
}

pub(super) fn fetch(world: &mut World, machine: u8, from: u8) {
    let (source, link) = (machine_of(world, from).clone(), identity(world, from));
    let fetching = machine_of_mut(world, machine);
    let is_link = source.view.position(link).is_some();
    if fetching.view.number == 0 {
        // An empty machine hears of the view first.
        if is_link {
            fetching.view = source.view;
        }
        return;
    }
    if is_link
        && source.view.number == fetching.view.number
        && source.log.len() > fetching.log.len()
    {
        let lacking = source.log[fetching.log.len()..].to_vec();
        fetching.log.extend(lacking);
    }
}
