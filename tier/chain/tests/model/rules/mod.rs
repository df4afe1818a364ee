//! The rules of the chain, step by step.

mod agreement;
mod check;
mod log;
mod reads;
mod steps;

use std::collections::BTreeSet;

use crate::model::{Bounds, InjectedBug, Step};
use crate::state::{Acceptor, Ballot, Identity, Machine, Message, Read, View, World};

use agreement::{adopt, decide, on_accept, on_prepare, propose};
use check::check;
use log::{commit, commit_at_tail, fetch, on_append, push};
use reads::{answer_read, confirm};
pub use steps::steps;

/// Members that a chain needs: one loss is tolerated.
const REQUIRED_MEMBERS: usize = 2;

fn required_members(bounds: &Bounds) -> usize {
    match bounds.has_bug(InjectedBug::ShortChain) {
        true => 1,
        false => REQUIRED_MEMBERS,
    }
}

impl Bounds {
    fn has_bug(&self, injected_bug: InjectedBug) -> bool {
        self.injected_bug == Some(injected_bug)
    }
}

fn identity(world: &World, machine: u8) -> Identity {
    Identity {
        machine,
        incarnation: world.machines[usize::from(machine)].incarnation,
    }
}

fn machine_of(world: &World, machine: u8) -> &Machine {
    &world.machines[usize::from(machine)]
}

fn machine_of_mut(world: &mut World, machine: u8) -> &mut Machine {
    &mut world.machines[usize::from(machine)]
}

fn is_sealed(bounds: &Bounds, machine: &Machine) -> bool {
    machine.acceptor.promised.is_some() && !bounds.has_bug(InjectedBug::SealIgnored)
}

fn next_round(machine: &Machine) -> u8 {
    machine
        .round
        .max(machine.acceptor.promised.map_or(0, |ballot| ballot.round))
        + 1
}

/// The ballot of a member's open attempt: the one with its newest round.
fn open_ballot(world: &World, proposer: u8) -> Option<Ballot> {
    let round = machine_of(world, proposer).round;
    (round > 0).then_some(Ballot { round, proposer })
}

/// One step.
pub fn take(bounds: &Bounds, world: &mut World, step: Step) {
    match step {
        Step::Order { head } => {
            world.operations += 1;
            let operation = world.operations;
            push(world, head, operation);
        }
        Step::CommitAtTail { tail } => commit_at_tail(bounds, world, tail),
        Step::Deliver { message, to } => deliver(bounds, world, message, to),
        Step::BeginAttempt { proposer } => {
            world.attempts += 1;
            let from = identity(world, proposer);
            let machine = machine_of_mut(world, proposer);
            machine.round = next_round(machine);
            machine.proposed_view = None;
            let ballot = Ballot {
                round: machine.round,
                proposer,
            };
            let instance = machine.view.number + 1;
            world.network.insert(Message::Prepare {
                instance,
                ballot,
                from,
            });
        }
        Step::Propose {
            proposer,
            promises,
            joiners,
        } => propose(bounds, world, proposer, &promises, &joiners),
        Step::Decide { proposer } => decide(world, proposer),
        Step::Fetch { machine, from } => fetch(world, machine, from),
        Step::Report { machine } => {
            let reporting = machine_of(world, machine);
            let message = Message::Reported {
                from: identity(world, machine),
                view: reporting.view.number,
                position: reporting.log.len(),
            };
            world.network.insert(message);
        }
        Step::LoseDisk { machine } => {
            world.wipes += 1;
            let lost = machine_of_mut(world, machine);
            let incarnation = if bounds.has_bug(InjectedBug::LostDiskVotes) {
                lost.incarnation
            } else {
                lost.incarnation + 1
            };
            let view = if bounds.has_bug(InjectedBug::LostDiskVotes) {
                lost.view.clone()
            } else {
                View::default()
            };
            *lost = Machine {
                incarnation,
                view,
                acceptor: Acceptor::default(),
                log: Vec::new(),
                committed: 0,
                round: 0,
                proposed_view: None,
            };
        }
        Step::Crash { machine } => crash(bounds, world, machine),
        Step::BeginRead { tail } => {
            world.reads += 1;
            let acknowledged = world
                .commits
                .iter()
                .map(|commit| commit.position)
                .max()
                .unwrap_or(0);
            let machine = machine_of(world, tail);
            world.read = Some(Read {
                tail: identity(world, tail),
                view: machine.view.number,
                revision: machine.committed,
                acknowledged,
                confirmed: BTreeSet::new(),
            });
        }
        Step::Confirm { voter } => confirm(world, voter),
        Step::AnswerRead => answer_read(bounds, world),
    }
    check(world);
}

fn deliver(bounds: &Bounds, world: &mut World, message: Message, to: u8) {
    match message {
        Message::Prepare {
            instance,
            ballot,
            from,
        } => on_prepare(world, to, instance, ballot, from),
        Message::Accept { ballot, view, from } => on_accept(world, to, ballot, view, from),
        Message::Decided(view) => adopt(world, to, view),
        Message::Append {
            view,
            from,
            previous,
            operation,
        } => {
            on_append(bounds, world, to, view, from, previous, operation);
        }
        Message::Committed { view, revision } if machine_of(world, to).view.number == view => {
            commit(world, to, revision)
        }
        // Other messages are read by the steps that act on them.
        _ => {}
    }
}

fn crash(bounds: &Bounds, world: &mut World, machine: u8) {
    world.crashes += 1;
    let me = identity(world, machine);
    let crashed = machine_of_mut(world, machine);
    crashed.round = 0;
    crashed.proposed_view = None;
    if bounds.has_bug(InjectedBug::PromiseUnsynced) {
        crashed.acceptor = Acceptor::default();
    }
    if crashed.view.is_tail(me) {
        // What the tail has on its disk, every member before it has as well.
        let revision = crashed.log.len();
        commit(world, machine, revision);
    }
}
