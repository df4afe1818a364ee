//! The agreement on the next view.

use crate::model::{Bounds, InjectedBug};
use crate::state::{Acceptor, Ballot, Identity, Message, View, World};

use super::log::commit;
use super::{identity, machine_of, machine_of_mut, open_ballot, REQUIRED_MEMBERS};

pub(super) type Promise<'world> = (Identity, &'world Option<(Ballot, View)>, usize);

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
            } if *voted_instance == instance && *by == ballot => Some((*from, accepted, *position)),
            _ => None,
        })
}

pub(super) fn may_vote(
    world: &World,
    voter: u8,
    instance: u8,
    ballot: Ballot,
    from: Identity,
) -> bool {
    let (me, machine) = (identity(world, voter), machine_of(world, voter));
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
    let (accepted, position) = (machine.acceptor.accepted.clone(), machine.log.len());
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
    let (from, view) = (
        identity(world, proposer),
        machine_of(world, proposer).view.clone(),
    );
    let instance = view.number + 1;
    let received: Vec<_> = promises(world, instance, ballot)
        .filter(|(from, ..)| view.votes(*from) && chosen.contains(&from.machine))
        .map(|(from, accepted, position)| (from, accepted.clone(), position))
        .collect();
    let bound = received
        .iter()
        .filter_map(|(_, accepted, _)| accepted.clone())
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

pub(super) type ReceivedPromise = (Identity, Option<(Ballot, View)>, usize);

pub(super) fn plan(
    bounds: &Bounds,
    world: &World,
    view: &View,
    received: &[ReceivedPromise],
    joiners: &[Identity],
) -> Option<View> {
    let position = |link: &u8| {
        let promised = received
            .iter()
            .find(|(from, ..)| from.machine == *link && view.votes(*from));
        promised.map(|(.., position)| *position)
    };
    let survivors: Vec<u8> = view
        .chain
        .iter()
        .copied()
        .filter(|link| position(link).is_some())
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
    let replaced = |voter: &Identity| joiners.iter().any(|joiner| joiner.machine == voter.machine);
    let mut voters: Vec<_> = view
        .voters
        .iter()
        .copied()
        .filter(|voter| !replaced(voter))
        .collect();
    voters.extend(joiners);
    voters.sort();
    let chain: Vec<u8> = survivors
        .iter()
        .copied()
        .chain(joiners.iter().map(|joiner| joiner.machine))
        .collect();
    let enough = if bounds.has_bug(InjectedBug::ShortChain) {
        1
    } else {
        REQUIRED_MEMBERS
    };
    (chain.len() >= enough).then(|| View {
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
