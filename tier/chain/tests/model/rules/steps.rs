//! What may happen next.

use std::collections::BTreeSet;

use crate::model::{Bounds, InjectedBug, Step};
use crate::state::{Identity, Machine, Message, View, World};

use super::agreement::promises;
use super::{identity, is_sealed, machine_of, open_ballot};

/// Everything that may happen next.
pub fn steps(bounds: &Bounds, world: &World, steps: &mut Vec<Step>) {
    for number in 0..bounds.machines {
        let machine = machine_of(world, number);
        let me = identity(world, number);
        let position = machine.view.position(me);
        if position == Some(0)
            && !is_sealed(bounds, machine)
            && world.operations < bounds.operations
        {
            steps.push(Step::Order { head: number });
        }
        if machine.view.is_tail(me) && machine.log.len() > machine.committed {
            steps.push(Step::CommitAtTail { tail: number });
        }
        let may_attempt = world.attempts < bounds.attempts && number < bounds.proposers;
        if position.is_some() && machine.view.number < bounds.views && may_attempt {
            steps.push(Step::BeginAttempt { proposer: number });
        }
        if position.is_some() {
            steps_of_an_attempt(bounds, world, number, steps);
        } else {
            steps_outside_the_chain(bounds, machine, number, steps);
        }
        if world.wipes < bounds.wipes {
            steps.push(Step::LoseDisk { machine: number });
        }
        if world.crashes < bounds.crashes {
            steps.push(Step::Crash { machine: number });
        }
        if machine.view.is_tail(me) && world.read.is_none() && world.reads < bounds.reads {
            steps.push(Step::BeginRead { tail: number });
        }
        if world.read.is_some() {
            steps.push(Step::Confirm { voter: number });
        }
        steps.extend(world.network.iter().map(|message| Step::Deliver {
            message: message.clone(),
            to: number,
        }));
    }
    if world.read.is_some() {
        steps.push(Step::AnswerRead);
    }
}

/// What a machine outside the chain does; in the last view that is explored nobody joins any more.
fn steps_outside_the_chain(bounds: &Bounds, machine: &Machine, number: u8, steps: &mut Vec<Step>) {
    if machine.view.number < bounds.views {
        steps.push(Step::Report { machine: number });
        steps.extend((0..bounds.machines).map(|from| Step::Fetch {
            machine: number,
            from,
        }));
    }
}

fn steps_of_an_attempt(bounds: &Bounds, world: &World, proposer: u8, steps: &mut Vec<Step>) {
    let Some(ballot) = open_ballot(world, proposer) else {
        return;
    };
    let view = &machine_of(world, proposer).view;
    let instance = view.number + 1;
    if machine_of(world, proposer).proposed_view.is_some() {
        steps.push(Step::Decide { proposer });
        return;
    }
    let promised: BTreeSet<u8> = promises(world, instance, ballot)
        .filter(|promise| view.votes(promise.from))
        .map(|promise| promise.from.machine)
        .collect();
    for promises in subsets(&promised.into_iter().collect::<Vec<_>>()) {
        let lacks_own_promise =
            !promises.contains(&proposer) && !bounds.has_bug(InjectedBug::BallotUsedTwice);
        if promises.len() < view.majority() || lacks_own_promise {
            continue;
        }
        for joiners in subsets(&reporters(world, view)) {
            steps.push(Step::Propose {
                proposer,
                promises: promises.clone(),
                joiners,
            });
        }
    }
}

/// Disks outside the chain that have reported which operations they have.
fn reporters(world: &World, view: &View) -> Vec<Identity> {
    let reporters = world.network.iter().filter_map(|message| match message {
        Message::Reported {
            from,
            view: reported_view,
            ..
        } if *reported_view == view.number && view.position(*from).is_none() => Some(*from),
        _ => None,
    });
    reporters.collect::<BTreeSet<_>>().into_iter().collect()
}

fn subsets<T: Clone>(items: &[T]) -> Vec<Vec<T>> {
    let chosen = |mask: usize| {
        let chosen = items
            .iter()
            .enumerate()
            .filter(move |(position, _)| mask & (1 << position) != 0);
        chosen.map(|(_, item)| item.clone()).collect()
    };
    (0..1_usize << items.len()).map(chosen).collect()
}
