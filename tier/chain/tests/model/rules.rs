//! The rules of the chain, step by step.

use std::collections::BTreeSet;

use crate::model::{Bounds, Planted, Step};
use crate::state::{Acceptor, Ballot, Broken, Commit, Identity, Machine, Message, Read, View, World};

/// Links that a chain needs: one loss is borne.
const LINKS: usize = 2;

impl Bounds {
    fn plants(&self, planted: Planted) -> bool {
        self.planted == Some(planted)
    }
}

fn identity(world: &World, machine: u8) -> Identity {
    Identity { machine, life: world.machines[usize::from(machine)].life }
}

fn of(world: &World, machine: u8) -> &Machine {
    &world.machines[usize::from(machine)]
}

fn of_mut(world: &mut World, machine: u8) -> &mut Machine {
    &mut world.machines[usize::from(machine)]
}

fn is_sealed(bounds: &Bounds, machine: &Machine) -> bool {
    machine.acceptor.promised.is_some() && !bounds.plants(Planted::SealIgnored)
}

/// Everything that may happen next.
pub fn steps(bounds: &Bounds, world: &World, steps: &mut Vec<Step>) {
    for number in 0..bounds.machines {
        let (machine, me) = (of(world, number), identity(world, number));
        let place = machine.view.place(me);
        if place == Some(0) && !is_sealed(bounds, machine) && world.operations < bounds.operations {
            steps.push(Step::Order { head: number });
        }
        if machine.view.is_tail(me) && machine.log.len() > machine.committed {
            steps.push(Step::CommitAtTail { tail: number });
        }
        let attempts = world.attempts < bounds.attempts && number < bounds.proposers;
        if place.is_some() && machine.view.number < bounds.views && attempts {
            steps.push(Step::BeginAttempt { proposer: number });
        }
        if place.is_some() {
            proposals(bounds, world, number, steps);
        } else {
            outside(bounds, machine, number, steps);
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
        steps.extend(
            world.network.iter().map(|message| Step::Deliver { message: message.clone(), to: number }),
        );
    }
    if world.read.is_some() {
        steps.push(Step::AnswerRead);
    }
}

fn next_round(machine: &Machine) -> u8 {
    machine.round.max(machine.acceptor.promised.map_or(0, |ballot| ballot.round)) + 1
}

/// What a machine outside the chain does; in the last view that is explored nobody joins any more.
fn outside(bounds: &Bounds, machine: &Machine, number: u8, steps: &mut Vec<Step>) {
    if machine.view.number < bounds.views {
        steps.push(Step::Tell { machine: number });
        steps.extend((0..bounds.machines).map(|from| Step::Fetch { machine: number, from }));
    }
}

/// The attempt of a link that is still open: the one with its newest round.
fn open_ballot(world: &World, proposer: u8) -> Option<Ballot> {
    let round = of(world, proposer).round;
    (round > 0).then_some(Ballot { round, proposer })
}

fn proposals(bounds: &Bounds, world: &World, proposer: u8, steps: &mut Vec<Step>) {
    let Some(ballot) = open_ballot(world, proposer) else { return };
    let view = &of(world, proposer).view;
    let instance = view.number + 1;
    if of(world, proposer).asked.is_some() {
        steps.push(Step::Decide { proposer });
        return;
    }
    let promised: BTreeSet<u8> = promises(world, instance, ballot)
        .filter(|(from, ..)| view.votes(*from))
        .map(|(from, ..)| from.machine)
        .collect();
    for promises in subsets(&promised.into_iter().collect::<Vec<_>>()) {
        let waits = !promises.contains(&proposer) && !bounds.plants(Planted::BallotUsedTwice);
        if promises.len() < view.majority() || waits {
            continue;
        }
        for joiners in subsets(&holders(world, view)) {
            steps.push(Step::Propose { proposer, promises: promises.clone(), joiners });
        }
    }
}

type Promise<'world> = (Identity, &'world Option<(Ballot, View)>, usize);

fn promises(world: &World, instance: u8, ballot: Ballot) -> impl Iterator<Item = Promise<'_>> {
    world.network.iter().filter_map(move |message| match message {
        Message::Promise { instance: of, ballot: by, from, accepted, position }
            if *of == instance && *by == ballot =>
        {
            Some((*from, accepted, *position))
        }
        _ => None,
    })
}

/// Lives outside the chain that have told what they hold.
fn holders(world: &World, view: &View) -> Vec<Identity> {
    let told = world.network.iter().filter_map(|message| match message {
        Message::Holds { from, view: of, .. } if *of == view.number && view.place(*from).is_none() => {
            Some(*from)
        }
        _ => None,
    });
    told.collect::<BTreeSet<_>>().into_iter().collect()
}

fn subsets<T: Clone>(items: &[T]) -> Vec<Vec<T>> {
    let chosen = |mask: usize| {
        let kept = items.iter().enumerate().filter(move |(place, _)| mask & (1 << place) != 0);
        kept.map(|(_, item)| item.clone()).collect()
    };
    (0..1_usize << items.len()).map(chosen).collect()
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
            let machine = of_mut(world, proposer);
            machine.round = next_round(machine);
            machine.asked = None;
            let ballot = Ballot { round: machine.round, proposer };
            let instance = machine.view.number + 1;
            world.network.insert(Message::Prepare { instance, ballot, from });
        }
        Step::Propose { proposer, promises, joiners } => {
            propose(bounds, world, proposer, &promises, &joiners)
        }
        Step::Decide { proposer } => decide(world, proposer),
        Step::Fetch { machine, from } => fetch(world, machine, from),
        Step::Tell { machine } => {
            let (from, told) = (identity(world, machine), of(world, machine));
            let message = Message::Holds { from, view: told.view.number, position: told.log.len() };
            world.network.insert(message);
        }
        Step::LoseDisk { machine } => {
            world.wipes += 1;
            let lost = of_mut(world, machine);
            let life = if bounds.plants(Planted::LostDiskVotes) { lost.life } else { lost.life + 1 };
            let view =
                if bounds.plants(Planted::LostDiskVotes) { lost.view.clone() } else { View::default() };
            *lost = Machine {
                life,
                view,
                acceptor: Acceptor::default(),
                log: Vec::new(),
                committed: 0,
                round: 0,
                asked: None,
            };
        }
        Step::Crash { machine } => crash(bounds, world, machine),
        Step::BeginRead { tail } => {
            world.reads += 1;
            let owed = world.commits.iter().map(|commit| commit.position).max().unwrap_or(0);
            let (me, machine) = (identity(world, tail), of(world, tail));
            let (view, revision) = (machine.view.number, machine.committed);
            world.read = Some(Read { tail: me, view, revision, owed, confirmed: BTreeSet::new() });
        }
        Step::Confirm { voter } => confirm(world, voter),
        Step::AnswerRead => answer_read(bounds, world),
    }
    check(world);
}

/// A link has an operation on disk and passes it on; the message may come whenever it likes.
fn push(world: &mut World, link: u8, operation: u8) {
    let from = identity(world, link);
    let machine = of_mut(world, link);
    let (view, previous) = (machine.view.number, machine.log.len());
    machine.log.push(operation);
    if !machine.view.is_tail(from) {
        world.network.insert(Message::Append { view, from, previous, operation });
    }
}

fn commit_at_tail(bounds: &Bounds, world: &mut World, tail: u8) {
    let machine = of(world, tail);
    let enough = if bounds.plants(Planted::ShortChain) { 1 } else { LINKS };
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
fn commit(world: &mut World, machine: u8, revision: usize) {
    let known = of_mut(world, machine);
    let (view, before) = (known.view.number, known.committed);
    known.committed = before.max(revision.min(known.log.len()));
    let new: Vec<_> = (before..known.committed)
        .map(|place| Commit { view, position: place + 1, operation: known.log[place] })
        .collect();
    for commit in new {
        let copies = world
            .machines
            .iter()
            .filter(|other| other.log.get(commit.position - 1) == Some(&commit.operation));
        // A disk that was lost since cannot count: the tail's word came before, or it is a loss that is borne.
        if copies.count() + usize::from(world.wipes) < LINKS {
            world.broken = Some(Broken::FewCopies);
        }
        world.commits.insert(commit);
    }
}

fn deliver(bounds: &Bounds, world: &mut World, message: Message, to: u8) {
    match message {
        Message::Prepare { instance, ballot, from } => on_prepare(world, to, instance, ballot, from),
        Message::Accept { ballot, view, from } => on_accept(world, to, ballot, view, from),
        Message::Decided(view) => adopt(world, to, view),
        Message::Append { view, from, previous, operation } => {
            on_append(bounds, world, to, view, from, previous, operation);
        }
        Message::Committed { view, revision } if of(world, to).view.number == view => {
            commit(world, to, revision)
        }
        // Taken by those that act on them.
        _ => {}
    }
}

fn may_vote(world: &World, voter: u8, instance: u8, ballot: Ballot, from: Identity) -> bool {
    let (me, machine) = (identity(world, voter), of(world, voter));
    let is_due = machine.view.number + 1 == instance && machine.view.votes(me) && machine.view.votes(from);
    is_due && machine.acceptor.promised.is_none_or(|promised| promised <= ballot)
}

fn on_prepare(world: &mut World, voter: u8, instance: u8, ballot: Ballot, from: Identity) {
    if !may_vote(world, voter, instance, ballot, from) {
        return;
    }
    let me = identity(world, voter);
    let machine = of_mut(world, voter);
    machine.acceptor.promised = Some(ballot);
    let (accepted, position) = (machine.acceptor.accepted.clone(), machine.log.len());
    world.network.insert(Message::Promise { instance, ballot, from: me, accepted, position });
}

fn on_accept(world: &mut World, voter: u8, ballot: Ballot, view: View, from: Identity) {
    let instance = view.number;
    if !may_vote(world, voter, instance, ballot, from) {
        return;
    }
    let me = identity(world, voter);
    let acceptor = &mut of_mut(world, voter).acceptor;
    acceptor.promised = Some(ballot);
    acceptor.accepted = Some((ballot, view));
    world.network.insert(Message::Accepted { instance, ballot, from: me });
}

fn propose(bounds: &Bounds, world: &mut World, proposer: u8, chosen: &[u8], joiners: &[Identity]) {
    let Some(ballot) = open_ballot(world, proposer) else { return };
    let (from, view) = (identity(world, proposer), of(world, proposer).view.clone());
    let instance = view.number + 1;
    let heard: Vec<_> = promises(world, instance, ballot)
        .filter(|(from, ..)| view.votes(*from) && chosen.contains(&from.machine))
        .map(|(from, accepted, position)| (from, accepted.clone(), position))
        .collect();
    let bound = heard.iter().filter_map(|(_, accepted, _)| accepted.clone()).max_by_key(|(by, _)| *by);
    let next = match bound {
        Some((_, bound)) => Some(bound),
        None => plan(bounds, world, &view, &heard, joiners),
    };
    if let Some(view) = next {
        of_mut(world, proposer).asked = Some(view.clone());
        world.network.insert(Message::Accept { ballot, view, from });
    }
}

type Heard = (Identity, Option<(Ballot, View)>, usize);

fn plan(bounds: &Bounds, world: &World, view: &View, heard: &[Heard], joiners: &[Identity]) -> Option<View> {
    let position = |link: &u8| {
        let promised = heard.iter().find(|(from, ..)| from.machine == *link && view.votes(*from));
        promised.map(|(.., position)| *position)
    };
    let survivors: Vec<u8> = view.chain.iter().copied().filter(|link| position(link).is_some()).collect();
    let positions = survivors.iter().filter_map(position);
    let base = match bounds.planted {
        Some(Planted::BaseTooHigh) => positions.max()?,
        Some(Planted::BaseTooLow) => positions.min()?.saturating_sub(1),
        _ => positions.min()?,
    };
    let holds = |joiner: &Identity| {
        world.network.iter().any(|message| {
            matches!(message, Message::Holds { from, view: of, position }
                if from == joiner && *of == view.number && *position >= base)
        })
    };
    if !joiners.iter().all(holds) {
        return None;
    }
    let replaced = |voter: &Identity| joiners.iter().any(|joiner| joiner.machine == voter.machine);
    let mut voters: Vec<_> = view.voters.iter().copied().filter(|voter| !replaced(voter)).collect();
    voters.extend(joiners);
    voters.sort();
    let chain: Vec<u8> =
        survivors.iter().copied().chain(joiners.iter().map(|joiner| joiner.machine)).collect();
    let enough = if bounds.plants(Planted::ShortChain) { 1 } else { LINKS };
    (chain.len() >= enough).then(|| View { number: view.number + 1, voters, chain, base })
}

fn decide(world: &mut World, proposer: u8) {
    let Some(ballot) = open_ballot(world, proposer) else { return };
    let view = of(world, proposer).view.clone();
    let instance = view.number + 1;
    let accepted = world.network.iter().filter(|message| {
        matches!(message, Message::Accepted { instance: of, ballot: by, from }
            if *of == instance && *by == ballot && view.votes(*from))
    });
    if accepted.count() < view.majority() {
        return;
    }
    let Some(next) = of(world, proposer).asked.clone() else { return };
    world.decided.insert(next.clone());
    world.network.insert(Message::Decided(next.clone()));
    adopt(world, proposer, next);
}

fn adopt(world: &mut World, machine: u8, view: View) {
    let adopting = of_mut(world, machine);
    if view.number <= adopting.view.number {
        return;
    }
    let follows = view.number == adopting.view.number + 1 && adopting.view.number > 0;
    let keep = if follows { view.base.min(adopting.log.len()) } else { adopting.committed };
    adopting.log.truncate(keep);
    adopting.acceptor = Acceptor::default();
    adopting.round = 0;
    adopting.asked = None;
    adopting.view = view;
    if follows {
        commit(world, machine, keep);
    }
}

fn on_append(
    bounds: &Bounds,
    world: &mut World,
    to: u8,
    view: u8,
    from: Identity,
    previous: usize,
    operation: u8,
) {
    let me = identity(world, to);
    let machine = of(world, to);
    let place = machine.view.place(me).and_then(|place| place.checked_sub(1));
    let before = place.map(|place| machine.view.chain[place]);
    let is_due = machine.view.number == view && before == Some(from.machine) && machine.view.votes(from);
    if is_due && !is_sealed(bounds, machine) && machine.log.len() == previous {
        push(world, to, operation);
    }
}

fn fetch(world: &mut World, machine: u8, from: u8) {
    let (source, link) = (of(world, from).clone(), identity(world, from));
    let fetching = of_mut(world, machine);
    let is_link = source.view.place(link).is_some();
    if fetching.view.number == 0 {
        // An empty machine hears of the view first.
        if is_link {
            fetching.view = source.view;
        }
        return;
    }
    if is_link && source.view.number == fetching.view.number && source.log.len() > fetching.log.len() {
        let lacking = source.log[fetching.log.len()..].to_vec();
        fetching.log.extend(lacking);
    }
}

fn crash(bounds: &Bounds, world: &mut World, machine: u8) {
    world.crashes += 1;
    let me = identity(world, machine);
    let crashed = of_mut(world, machine);
    crashed.round = 0;
    crashed.asked = None;
    if bounds.plants(Planted::PromiseUnsynced) {
        crashed.acceptor = Acceptor::default();
    }
    if crashed.view.is_tail(me) {
        // What the tail has on its disk, every link before it has as well.
        let revision = crashed.log.len();
        commit(world, machine, revision);
    }
}

fn confirm(world: &mut World, voter: u8) {
    let (me, machine) = (identity(world, voter), of(world, voter));
    let (view, is_open) = (machine.view.number, machine.acceptor.promised.is_none());
    let votes = machine.view.votes(me);
    if let Some(read) = world.read.as_mut().filter(|read| read.view == view && is_open && votes) {
        read.confirmed.insert(voter);
    }
}

fn answer_read(bounds: &Bounds, world: &mut World) {
    let Some(read) = &world.read else { return };
    let tail = of(world, read.tail.machine);
    let is_there = identity(world, read.tail.machine) == read.tail && tail.view.number == read.view;
    let asked = read.confirmed.len() >= tail.view.majority() || bounds.plants(Planted::TailDoesNotAsk);
    if !is_there || !asked {
        return;
    }
    if read.revision < read.owed {
        world.broken = Some(Broken::OldRead);
    }
    world.read = None;
}

/// What must hold in every state.
fn check(world: &mut World) {
    let broken = two_views(world)
        .or_else(|| ballot_used_twice(world))
        .or_else(|| two_orders(world))
        .or_else(|| lost(world));
    world.broken = world.broken.or(broken);
}

fn two_views(world: &World) -> Option<Broken> {
    let numbers: BTreeSet<u8> = world.decided.iter().map(|view| view.number).collect();
    (numbers.len() < world.decided.len()).then_some(Broken::TwoViews)
}

fn ballot_used_twice(world: &World) -> Option<Broken> {
    let asked: Vec<_> = world
        .network
        .iter()
        .filter_map(|message| match message {
            Message::Accept { ballot, view, .. } => Some((ballot, view)),
            _ => None,
        })
        .collect();
    let clash = |(ballot, view): &(&Ballot, &View)| {
        asked.iter().any(|(other, asked)| other == ballot && asked.number == view.number && asked != view)
    };
    asked.iter().any(clash).then_some(Broken::BallotUsedTwice)
}

fn two_orders(world: &World) -> Option<Broken> {
    let clash = |one: &Commit| {
        world.commits.iter().any(|other| one.position == other.position && one.operation != other.operation)
    };
    world.commits.iter().any(clash).then_some(Broken::TwoOrders)
}

/// Every later view begins with what was acknowledged, and its links have it.
fn lost(world: &World) -> Option<Broken> {
    let missing = |commit: &Commit| {
        let later = world.decided.iter().filter(|view| view.number > commit.view);
        let too_low = later.clone().any(|view| view.base < commit.position);
        let not_held = world.machines.iter().zip(0..).any(|(machine, number)| {
            let me = Identity { machine: number, life: machine.life };
            let is_link = machine.view.place(me).is_some() && machine.view.number > commit.view;
            is_link && machine.log.get(commit.position - 1) != Some(&commit.operation)
        });
        too_low || not_held
    };
    world.commits.iter().any(missing).then_some(Broken::Lost)
}
