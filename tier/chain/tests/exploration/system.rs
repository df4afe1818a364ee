//! The state that is explored: machines, the messages between them, and what clients have seen.

use std::collections::hash_map::DefaultHasher;
use std::collections::BTreeMap;
use std::fmt;
use std::hash::{Hash, Hasher};

use plankhill_chain::{
    DurableState, Effect, Heartbeat, Identity, Message, Millis, PlantedBug, View, ViewNumber, Write,
};
use plankhill_protocol::ids::{Incarnation, Revision};

use crate::history::History;
use crate::node::{address, member, node_id, Node};

/// Synced replicas of everything acknowledged: one loss is tolerated.
const REQUIRED_REPLICAS: usize = 2;
/// The incarnation of each disk at the beginning.
const FIRST_INCARNATION: u64 = 1;
/// Silence lasts for this many steps of the clock.
const SILENCE_TICKS: usize = 3;
/// One step of the clock, below the time after which a process takes itself for frozen. All steps of
/// a silence are longer than the time-out of peers.
const SILENCE_TICK: Millis = 250;

/// Something that is wrong with the system, for an invariant to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Defect {
    /// A mistake in the member's rules.
    Planted(PlantedBug),
    /// Promises and acceptances are forgotten in a crash.
    PromiseUnsynced,
    /// A lost disk keeps its incarnation, so that its old votes count.
    LostDiskVotes,
    /// One member is enough for a chain.
    ChainTooShort,
}

/// How often each kind of step has been taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Taken {
    pub operations: u8,
    pub reads: u8,
    pub silences: u8,
    pub crashes: u8,
    pub lost_disks: u8,
    pub lost_messages: u8,
}

/// One connection: from one machine to another.
type Link = (usize, usize);

/// The complete state.
#[derive(Clone)]
pub struct System {
    pub nodes: Vec<Node>,
    /// Messages that were sent and have not arrived, in order.
    pub links: BTreeMap<Link, Vec<(Identity, Message)>>,
    pub history: History,
    pub taken: Taken,
    pub defect: Option<Defect>,
    /// Two hashes of all that decides what may follow.
    fingerprint: (u64, u64),
}

impl System {
    /// Machines in service that have just found the first view on their disks.
    pub fn new(machines: usize, defect: Option<Defect>) -> Self {
        let voters: Vec<_> = (0..machines)
            .map(|index| member(index, FIRST_INCARNATION))
            .collect();
        let chain = (0..machines).map(node_id).collect();
        let view = View {
            number: ViewNumber(1),
            voters,
            chain,
            base: Revision(0),
        };
        let mut disk = DurableState::default();
        disk.apply(&Write::Incarnation(Incarnation(FIRST_INCARNATION)));
        disk.apply(&Write::View(view));
        let nodes = (0..machines)
            .map(|index| Node::start(index, machines, disk.clone(), 0, defect))
            .collect();
        let mut system = Self {
            nodes,
            links: BTreeMap::new(),
            history: History::default(),
            taken: Taken::default(),
            defect,
            fingerprint: (0, 0),
        };
        for index in 0..machines {
            system.observe(index);
        }
        system
    }

    pub fn identity_of(&self, index: usize) -> Identity {
        self.nodes[index].member.member().identity.clone()
    }

    /// Delivers a message; those before it on its connection are lost.
    pub fn deliver(&mut self, link: Link, position: usize) {
        let Some(messages) = self.links.get_mut(&link) else {
            return;
        };
        let mut arrived = messages.drain(..=position);
        self.taken.lost_messages += position as u8;
        let Some((from, message)) = arrived.next_back() else {
            return;
        };
        drop(arrived);
        let (_, to) = link;
        let effects = self.nodes[to].receive(&from, message);
        self.carry_out(to, effects);
    }

    pub fn sync(&mut self, index: usize) {
        let effects = self.nodes[index].sync();
        self.carry_out(index, effects);
    }

    /// Time passes at one machine, which hears these others alone, by their newest heartbeats.
    pub fn silence(&mut self, index: usize, heard: &[usize]) {
        for _ in 0..SILENCE_TICKS {
            self.nodes[index].now += SILENCE_TICK;
            for other in heard {
                self.hear(index, *other);
            }
            let effects = self.nodes[index].tick();
            self.carry_out(index, effects);
        }
    }

    /// The process of a machine begins to run.
    pub fn start(&mut self, index: usize) {
        let effects = self.nodes[index].tick();
        self.carry_out(index, effects);
    }

    /// The newest heartbeat of a machine arrives, with an echo of the receiver's newest one where it
    /// has any. Numbers of heartbeats grow for ever, so that the exploration gives them out.
    pub fn hear(&mut self, index: usize, other: usize) {
        let Some(mut heartbeat) = self.nodes[other].heartbeat.clone() else {
            return;
        };
        let receiver = &self.nodes[index].member;
        for echo in &mut heartbeat.echoes {
            if echo.identity == receiver.member().identity {
                echo.sequence = receiver.last_heartbeat_sequence();
            }
        }
        let from = heartbeat.member.identity.clone();
        let effects = self.nodes[index].receive(&from, Message::Heartbeat(heartbeat));
        self.carry_out(index, effects);
    }

    pub fn propose(&mut self, index: usize) {
        self.taken.operations += 1;
        let operation = self.taken.operations;
        let node = &mut self.nodes[index];
        let request = plankhill_chain::RequestNumber(u128::from(operation));
        let deadline = Millis::MAX;
        node.member
            .propose(request, [operation].into(), deadline, node.now);
        let effects = node.member.take_effects();
        self.carry_out(index, effects);
    }

    pub fn read(&mut self, index: usize) {
        self.taken.reads += 1;
        let read_id = u64::from(self.taken.reads);
        self.history.begin_read(read_id);
        let node = &mut self.nodes[index];
        node.member.read(read_id, Millis::MAX, node.now);
        let effects = node.member.take_effects();
        self.carry_out(index, effects);
    }

    pub fn crash(&mut self, index: usize, kept: usize) {
        self.taken.crashes += 1;
        let machines = self.nodes.len();
        self.nodes[index].restart(index, machines, kept, self.defect);
        self.start(index);
    }

    pub fn lose_disk(&mut self, index: usize) {
        self.taken.lost_disks += 1;
        let machines = self.nodes.len();
        self.nodes[index].lose_disk(index, machines, self.defect);
        self.start(index);
    }

    fn carry_out(&mut self, index: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { to, message } => {
                    let receiver = (0..self.nodes.len()).find(|other| address(*other) == to);
                    if let Some(receiver) = receiver {
                        self.send(index, receiver, message);
                    }
                }
                Effect::Persist { ticket, writes } => {
                    self.nodes[index].unsynced.push((ticket, writes));
                }
                Effect::ProposalCommitted { .. } => self.acknowledge(index),
                Effect::ReadReady(read_id) => {
                    let revision = self.nodes[index].member.revision();
                    self.history.record_read(read_id, revision);
                }
                Effect::ReadFailed(read_id) => self.history.abandon_read(read_id),
                Effect::ProposalFailed(_) => {}
            }
        }
        self.observe(index);
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        match message {
            Message::Heartbeat(heartbeat) => self.nodes[from].heartbeat = Some(heartbeat),
            message => {
                if let Message::Accept { ballot, view } = &message {
                    self.history.record_proposed(ballot, view);
                }
                let sender = self.identity_of(from);
                let link = self.links.entry((from, to)).or_default();
                let sent = (sender, message);
                // What is sent again while it is still on its way arrives once.
                if !link.contains(&sent) {
                    link.push(sent);
                }
            }
        }
    }

    /// The one operation of an exploration was acknowledged.
    fn acknowledge(&mut self, index: usize) {
        let member = &self.nodes[index].member;
        let (view, revision) = (member.view().number, member.revision());
        let replicas = self.replicas(revision);
        self.history.check_replicas(replicas, REQUIRED_REPLICAS);
        self.history.record_acknowledged(view, revision);
    }

    /// Disks that have an operation.
    fn replicas(&self, revision: Revision) -> usize {
        let nodes = self.nodes.iter();
        nodes.filter(|node| node.has_on_disk(revision)).count()
    }

    fn observe(&mut self, index: usize) {
        let member = &self.nodes[index].member;
        self.history.record_adopted(member.view());
        let applied = member.machine().0.clone();
        let revision = member.revision();
        if self.history.record_applied(&applied) {
            let replicas = self.replicas(revision);
            let lost = usize::from(self.taken.lost_disks);
            self.history
                .check_replicas(replicas + lost, REQUIRED_REPLICAS);
        }
    }

    /// To be called after each step.
    pub fn update_fingerprint(&mut self) {
        let text = self.text();
        let mut one = DefaultHasher::new();
        text.hash(&mut one);
        let mut other = DefaultHasher::new();
        (text.len(), &text).hash(&mut other);
        self.fingerprint = (one.finish(), other.finish());
    }

    fn text(&self) -> String {
        use fmt::Write as _;
        let mut text = format!("{:?} {:?} {:?}", self.links, self.history, self.taken);
        for node in &self.nodes {
            let heartbeat = node.heartbeat.clone().map(without_numbers);
            let unsynced: Vec<_> = node.unsynced.iter().map(|(_, writes)| writes).collect();
            let state = node.member.canonical_state();
            // Writing into a string does not fail.
            let _ = write!(text, " {state} {:?} {unsynced:?} {heartbeat:?}", node.disk);
        }
        text
    }
}

fn without_numbers(mut heartbeat: Heartbeat) -> Heartbeat {
    heartbeat.sequence = 0;
    for echo in &mut heartbeat.echoes {
        echo.sequence = 0;
    }
    heartbeat
}

impl PartialEq for System {
    fn eq(&self, other: &Self) -> bool {
        self.fingerprint == other.fingerprint
    }
}

impl Hash for System {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.fingerprint.hash(state);
    }
}

impl fmt::Debug for System {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.text())
    }
}
