//! The agreement on the next view.

use crate::model::{Bounds, InjectedBug};
use crate::state::{Acceptor, Ballot, Identity, Message, View, World};

use super::log::commit;
use super::{identity, machine_of, machine_of_mut, open_ballot, required_members};

/// One voter's promise.
pub(super) struct Promise<'world> {
    pub(super) from: Identity,
    accepted: &'world Option<(Ballot, View)>,
    position: usize,
}

/// The promises for a ballot.
pub(super) fn promises(
    world: &World,
    instance: u8,
    ballot: Ballot,
) -> impl Iterator<Item = Promise<'_>> {
    world
        .network
        .iter()
        .filter_map(move |message| match message {
            Message::Promise {
                instance: voted_instance,
                ballot: by,
                from,
                accepted,
                position,
            } if *voted_instance == instance && *by == ballot => Some(Promise {
                from: *from,
                accepted,
                position: *position,
            }),
            _ => None,
        })
}

fn may_vote(world: &World, voter: u8, instance: u8, ballot: Ballot, from: Identity) -> bool {
    let me = identity(world, voter);
    let machine = machine_of(world, voter);
    let is_due =
        machine.view.number + 1 == instance && machine.view.votes(me) && machine.view.votes(from);
    is_due
        && machine
            .acceptor
            .promised
            .is_none_or(|promised| promised <= ballot)
}

pub(super) fn on_prepare(
    world: &mut World,
    voter: u8,
    instance: u8,
    ballot: Ballot,
    from: Identity,
) {
    if !may_vote(world, voter, instance, ballot, from) {
        return;
    }
    let me = identity(world, voter);
    let machine = machine_of_mut(world, voter);
    machine.acceptor.promised = Some(ballot);
    let accepted = machine.acceptor.accepted.clone();
    let position = machine.log.len();
    world.network.insert(Message::Promise {
        instance,
        ballot,
        from: me,
        accepted,
        position,
    });
}

pub(super) fn on_accept(world: &mut World, voter: u8, ballot: Ballot, view: View, from: Identity) {
    let instance = view.number;
    if !may_vote(world, voter, instance, ballot, from) {
        return;
    }
    let me = identity(world, voter);
    let acceptor = &mut machine_of_mut(world, voter).acceptor;
    acceptor.promised = Some(ballot);
    acceptor.accepted = Some((ballot, view));
    world.network.insert(Message::Accepted {
        instance,
        ballot,
        from: me,
    });
}

pub(super) fn propose(
    bounds: &Bounds,
    world: &mut World,
    proposer: u8,
    chosen: &[u8],
    joiners: &[Identity],
) {
    let Some(ballot) = open_ballot(world, proposer) else {
        return;
    };
    let from = identity(world, proposer);
    let view = machine_of(world, proposer).view.clone();
    let instance = view.number + 1;
    let received: Vec<_> = promises(world, instance, ballot)
        .filter(|promise| view.votes(promise.from) && chosen.contains(&promise.from.machine))
        .collect();
    let bound = received
        .iter()
        .filter_map(|promise| promise.accepted.clone())
        .max_by_key(|(by, _)| *by);
    let next = match bound {
        Some((_, bound)) => Some(bound),
        None => plan(bounds, world, &view, &received, joiners),
    };
    if let Some(view) = next {
        machine_of_mut(world, proposer).proposed_view = Some(view.clone());
        world.network.insert(Message::Accept { ballot, view, from });
    }
}

/// The view that follows, where no promise reports an earlier acceptance.
fn plan(
    bounds: &Bounds,
    world: &World,
    view: &View,
    received: &[Promise<'_>],
    joiners: &[Identity],
) -> Option<View> {
    let position = |member: &u8| {
        let promised = received
            .iter()
            .find(|promise| promise.from.machine == *member && view.votes(promise.from));
        promised.map(|promise| promise.position)
    };
    let survivors: Vec<u8> = view
        .chain
        .iter()
        .copied()
        .filter(|member| position(member).is_some())
        .collect();
    let positions = survivors.iter().filter_map(position);
    let base = match bounds.injected_bug {
        Some(InjectedBug::BaseTooHigh) => positions.max()?,
        Some(InjectedBug::BaseTooLow) => positions.min()?.saturating_sub(1),
        _ => positions.min()?,
    };
    let has_reported = |joiner: &Identity| {
        world.network.iter().any(|message| {
            matches!(message, Message::Reported { from, view: reported_view, position }
                if from == joiner && *reported_view == view.number && *position >= base)
        })
    };
    if !joiners.iter().all(has_reported) {
        return None;
    }
    let is_replaced =
        |voter: &Identity| joiners.iter().any(|joiner| joiner.machine == voter.machine);
    let mut voters: Vec<_> = view
        .voters
        .iter()
        .copied()
        .filter(|voter| !is_replaced(voter))
        .collect();
    voters.extend(joiners);
    voters.sort();
    let chain: Vec<u8> = survivors
        .iter()
        .copied()
        .chain(joiners.iter().map(|joiner| joiner.machine))
        .collect();
    if chain.len() < required_members(bounds) {
        return None;
    }
    Some(View {
        number: view.number + 1,
        voters,
        chain,
        base,
    })
}

pub(super) fn decide(world: &mut World, proposer: u8) {
    let Some(ballot) = open_ballot(world, proposer) else {
        return;
    };
    let view = machine_of(world, proposer).view.clone();
    let instance = view.number + 1;
    let accepted = world.network.iter().filter(|message| {
        matches!(message, Message::Accepted { instance: voted_instance, ballot: by, from }
            if *voted_instance == instance && *by == ballot && view.votes(*from))
    });
    if accepted.count() < view.majority() {
        return;
    }
    let Some(next) = machine_of(world, proposer).proposed_view.clone() else {
        return;
    };
    world.decided.insert(next.clone());
    world.network.insert(Message::Decided(next.clone()));
    adopt(world, proposer, next);
}

pub(super) fn adopt(world: &mut World, machine: u8, view: View) {
    let adopting = machine_of_mut(world, machine);
    if view.number <= adopting.view.number {
        return;
    }
    let follows = view.number == adopting.view.number + 1 && adopting.view.number > 0;
    let keep = if follows {
        view.base.min(adopting.log.len())
    } else {
        adopting.committed
    };
    adopting.log.truncate(keep);
    adopting.acceptor = Acceptor::default();
    adopting.round = 0;
    adopting.proposed_view = None;
    adopting.view = view;
    if follows {
        commit(world, machine, keep);
    }
}
