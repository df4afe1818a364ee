//! Operations on their way down the chain.

use crate::model::Bounds;
use crate::state::{Commit, Identity, Message, Violation, World};

use super::{identity, is_sealed, machine_of, machine_of_mut, required_members, REQUIRED_MEMBERS};

/// A member has an operation on disk and passes it on; the message may arrive at any later time.
pub(super) fn push(world: &mut World, member: u8, operation: u8) {
    let from = identity(world, member);
    let machine = machine_of_mut(world, member);
    let view = machine.view.number;
    let previous = machine.log.len();
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
    if machine.view.chain.len() < required_members(bounds) {
        return;
    }
    let view = machine.view.number;
    let revision = machine.log.len();
    commit(world, tail, revision);
    // Only a member that skips a view needs the tail's message.
    if bounds.views > 2 {
        world.network.insert(Message::Committed { view, revision });
    }
}

/// A machine knows that everything up to here is committed, and says so to everyone who asks.
pub(super) fn commit(world: &mut World, machine: u8, revision: usize) {
    let known = machine_of_mut(world, machine);
    let view = known.view.number;
    let before = known.committed;
    known.committed = before.max(revision.min(known.log.len()));
    let new: Vec<_> = (before..known.committed)
        .map(|position| Commit {
            view,
            position: position + 1,
            operation: known.log[position],
        })
        .collect();
    for commit in new {
        let replicas = world
            .machines
            .iter()
            .filter(|other| other.log.get(commit.position - 1) == Some(&commit.operation));
        // A disk that was lost since cannot count: the tail's message came before, or the loss is
        // one that is tolerated.
        if replicas.count() + usize::from(world.wipes) < REQUIRED_MEMBERS {
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
    let predecessor = position.map(|position| machine.view.chain[position]);
    let is_due = machine.view.number == view
        && predecessor == Some(from.machine)
        && machine.view.votes(from);
    if is_due && !is_sealed(bounds, machine) && machine.log.len() == previous {
        push(world, to, operation);
    }
}

pub(super) fn fetch(world: &mut World, machine: u8, from: u8) {
    let source = machine_of(world, from).clone();
    let is_member = source.view.position(identity(world, from)).is_some();
    let fetching = machine_of_mut(world, machine);
    if fetching.view.number == 0 {
        // An empty machine gets the view first.
        if is_member {
            fetching.view = source.view;
        }
        return;
    }
    if is_member
        && source.view.number == fetching.view.number
        && source.log.len() > fetching.log.len()
    {
        let lacking = source.log[fetching.log.len()..].to_vec();
        fetching.log.extend(lacking);
    }
}
