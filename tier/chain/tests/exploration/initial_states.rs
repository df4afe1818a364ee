//! Initial states of an exploration.

use crate::system::{Defect, StepCounts, System};

/// Heartbeat exchanges after which all members count as reachable and stable.
const WARM_UP_ROUNDS: usize = 3;

/// An initial state, reached by a fixed sequence of steps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum InitialState {
    /// All members have exchanged heartbeats; no messages are in flight.
    Healthy,
    /// The head has missed the heartbeats of the last member and has sent `Prepare`. The promises
    /// of the other members have arrived; the head's own promise is not yet on its disk.
    HeadAwaitsOwnPromise,
    /// The head and the second member have accepted a view without the last member, and only the
    /// head has learned that the view is decided.
    OnlyHeadLearnedDecision,
    /// The last machine has lost its disk, and the others have received heartbeats of its new
    /// incarnation for a while: the head is about to propose a view with the new incarnation.
    DiskReplaced,
}

impl InitialState {
    pub fn build(self, machines: usize, defect: Option<Defect>) -> System {
        let mut system = System::new(machines, defect);
        exchange_first_heartbeats(&mut system);
        for _ in 0..WARM_UP_ROUNDS {
            exchange_heartbeats(&mut system);
        }
        deliver_and_sync_all(&mut system);
        match self {
            InitialState::Healthy => {}
            InitialState::HeadAwaitsOwnPromise => await_own_promise(&mut system),
            InitialState::OnlyHeadLearnedDecision => decide_at_head_only(&mut system),
            InitialState::DiskReplaced => replace_disk(&mut system),
        }
        system.steps_taken = StepCounts::default();
        system.update_fingerprint();
        system
    }
}

fn await_own_promise(system: &mut System) {
    system.advance_clock(0, &[1]);
    for voter in 1..system.nodes.len() {
        deliver_all(system, (0, voter));
        system.sync(voter);
    }
    for voter in 1..system.nodes.len() {
        deliver_all(system, (voter, 0));
    }
}

fn decide_at_head_only(system: &mut System) {
    system.advance_clock(0, &[1]);
    for _phase in 0..2 {
        deliver_all(system, (0, 1));
        system.sync(0);
        system.sync(1);
        deliver_all(system, (1, 0));
    }
    system.sync(0);
}

fn replace_disk(system: &mut System) {
    let last = system.nodes.len() - 1;
    system.lose_disk(last);
    for _ in 0..WARM_UP_ROUNDS {
        for index in (0..system.nodes.len()).rev() {
            if !system.links.values().all(Vec::is_empty) || index == 0 {
                continue;
            }
            let others: Vec<usize> = (0..system.nodes.len())
                .filter(|other| *other != index)
                .collect();
            system.advance_clock(index, &others);
            deliver_and_sync_all(system);
        }
    }
}

fn deliver_all(system: &mut System, link: (usize, usize)) {
    while system
        .links
        .get(&link)
        .is_some_and(|messages| !messages.is_empty())
    {
        system.deliver(link, 0);
    }
}

/// Starts all members, and delivers their first heartbeats before any member counts as failed.
fn exchange_first_heartbeats(system: &mut System) {
    for index in 0..system.nodes.len() {
        system.start(index);
    }
    for index in 0..system.nodes.len() {
        for other in 0..system.nodes.len() {
            system.deliver_heartbeat(index, other);
        }
    }
}

/// Advances the clock of each member, with heartbeats from all others.
fn exchange_heartbeats(system: &mut System) {
    let machines = system.nodes.len();
    for index in 0..machines {
        let others: Vec<usize> = (0..machines).filter(|other| *other != index).collect();
        system.advance_clock(index, &others);
    }
}

/// Delivers all messages and syncs all disks until none are pending.
fn deliver_and_sync_all(system: &mut System) {
    loop {
        let links = system.links.iter();
        let non_empty = links.filter(|(_, messages)| !messages.is_empty());
        let link = non_empty.map(|(link, _)| *link).next();
        if let Some(link) = link {
            system.deliver(link, 0);
            continue;
        }
        let unsynced = |index: &usize| !system.nodes[*index].unsynced.is_empty();
        match (0..system.nodes.len()).find(unsynced) {
            Some(index) => system.sync(index),
            None => return,
        }
    }
}
