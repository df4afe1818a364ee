//! The state of the model: machines, the messages between them, and the history that clients have
//! observed.

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

/// Minimum number of synced replicas of each acknowledged operation; one loss is tolerated.
const REQUIRED_REPLICAS: usize = 2;
/// Initial incarnation of each disk.
const FIRST_INCARNATION: u64 = 1;
/// Number of ticks in one clock advance.
const TICKS_PER_ADVANCE: usize = 3;
/// Time between two ticks of a clock advance, below the threshold at which a process considers
/// itself frozen. All ticks of a clock advance together exceed the timeout of peers.
const TICK_INTERVAL: Millis = 250;

/// A defect of the system that an invariant has to detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Defect {
    /// A bug planted in the members' rules.
    Planted(PlantedBug),
    /// Promises and acceptances are lost in a crash.
    PromiseUnsynced,
    /// The replacement of a lost disk keeps the incarnation, so that old votes still count.
    LostDiskVotes,
    /// A chain may consist of a single member.
    ChainTooShort,
}

/// Number of steps taken of each kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct StepCounts {
    pub operations: u8,
    pub reads: u8,
    pub clock_advances: u8,
    pub crashes: u8,
    pub lost_disks: u8,
    pub lost_messages: u8,
}

/// A one-way connection: (sender, receiver).
type Link = (usize, usize);

/// The complete state of the model.
#[derive(Clone)]
pub struct System {
    pub nodes: Vec<Node>,
    /// Messages in flight on each link, in the order in which they were sent.
    pub links: BTreeMap<Link, Vec<(Identity, Message)>>,
    pub history: History,
    pub steps_taken: StepCounts,
    pub defect: Option<Defect>,
    /// Two hashes of all state that determines the possible next steps.
    fingerprint: (u64, u64),
}

impl System {
    /// Machines in service that have just loaded the first view from their disks.
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
            steps_taken: StepCounts::default(),
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

    /// Delivers a message; the messages before it on the same link are lost.
    pub fn deliver(&mut self, link: Link, position: usize) {
        let Some(messages) = self.links.get_mut(&link) else {
            return;
        };
        let mut delivered = messages.drain(..=position);
        self.steps_taken.lost_messages += position as u8;
        let Some((from, message)) = delivered.next_back() else {
            return;
        };
        drop(delivered);
        let (_, to) = link;
        let effects = self.nodes[to].receive(&from, message);
        self.apply_effects(to, effects);
    }

    pub fn sync(&mut self, index: usize) {
        let effects = self.nodes[index].sync();
        self.apply_effects(index, effects);
    }

    /// Advances the clock of one machine, which receives only the newest heartbeats of these
    /// others.
    pub fn advance_clock(&mut self, index: usize, reachable: &[usize]) {
        for _ in 0..TICKS_PER_ADVANCE {
            self.nodes[index].now += TICK_INTERVAL;
            for sender in reachable {
                self.deliver_heartbeat(index, *sender);
            }
            let effects = self.nodes[index].tick();
            self.apply_effects(index, effects);
        }
    }

    /// Runs the first tick of a machine's process.
    pub fn start(&mut self, index: usize) {
        let effects = self.nodes[index].tick();
        self.apply_effects(index, effects);
    }

    /// Delivers the newest heartbeat of the machine `sender` to the machine `index`. An echo of the
    /// receiver in it gets the sequence number of the receiver's newest heartbeat: sequence numbers
    /// grow without bound, so the model assigns them.
    pub fn deliver_heartbeat(&mut self, index: usize, sender: usize) {
        let Some(mut heartbeat) = self.nodes[sender].heartbeat.clone() else {
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
        self.apply_effects(index, effects);
    }

    pub fn propose(&mut self, index: usize) {
        self.steps_taken.operations += 1;
        let operation = self.steps_taken.operations;
        let node = &mut self.nodes[index];
        let request = plankhill_chain::RequestNumber(u128::from(operation));
        let deadline = Millis::MAX;
        node.member
            .propose(request, [operation].into(), deadline, node.now);
        let effects = node.member.take_effects();
        self.apply_effects(index, effects);
    }

    pub fn read(&mut self, index: usize) {
        self.steps_taken.reads += 1;
        let read_id = u64::from(self.steps_taken.reads);
        self.history.begin_read(read_id);
        let node = &mut self.nodes[index];
        node.member.read(read_id, Millis::MAX, node.now);
        let effects = node.member.take_effects();
        self.apply_effects(index, effects);
    }

    pub fn crash(&mut self, index: usize, kept: usize) {
        self.steps_taken.crashes += 1;
        let machines = self.nodes.len();
        self.nodes[index].restart(index, machines, kept, self.defect);
        self.start(index);
    }

    pub fn lose_disk(&mut self, index: usize) {
        self.steps_taken.lost_disks += 1;
        let machines = self.nodes.len();
        self.nodes[index].lose_disk(index, machines, self.defect);
        self.start(index);
    }

    fn apply_effects(&mut self, index: usize, effects: Vec<Effect>) {
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
                // A message that is sent again while still in flight is delivered once.
                if !link.contains(&sent) {
                    link.push(sent);
                }
            }
        }
    }

    /// Records the acknowledgement of the only operation of an exploration.
    fn acknowledge(&mut self, index: usize) {
        let member = &self.nodes[index].member;
        let (view, revision) = (member.view().number, member.revision());
        let replicas = self.replica_count(revision);
        self.history.check_replicas(replicas, REQUIRED_REPLICAS);
        self.history.record_acknowledged(view, revision);
    }

    /// Number of disks that contain an operation.
    fn replica_count(&self, revision: Revision) -> usize {
        let nodes = self.nodes.iter();
        nodes.filter(|node| node.has_on_disk(revision)).count()
    }

    fn observe(&mut self, index: usize) {
        let member = &self.nodes[index].member;
        self.history.record_adopted(member.view());
        let applied = member.machine().0.clone();
        let revision = member.revision();
        if self.history.record_applied(&applied) {
            let replicas = self.replica_count(revision);
            let lost = usize::from(self.steps_taken.lost_disks);
            self.history
                .check_replicas(replicas + lost, REQUIRED_REPLICAS);
        }
    }

    /// Recomputes the fingerprint; has to be called after each step.
    pub fn update_fingerprint(&mut self) {
        let text = self.state_text();
        let mut one = DefaultHasher::new();
        text.hash(&mut one);
        let mut other = DefaultHasher::new();
        (text.len(), &text).hash(&mut other);
        self.fingerprint = (one.finish(), other.finish());
    }

    fn state_text(&self) -> String {
        use fmt::Write as _;
        let mut text = format!("{:?} {:?} {:?}", self.links, self.history, self.steps_taken);
        for node in &self.nodes {
            let heartbeat = node.heartbeat.clone().map(without_sequence_numbers);
            let unsynced: Vec<_> = node.unsynced.iter().map(|(_, writes)| writes).collect();
            let state = node.member.canonical_state();
            // Writing to a `String` does not fail.
            let _ = write!(text, " {state} {:?} {unsynced:?} {heartbeat:?}", node.disk);
        }
        text
    }
}

fn without_sequence_numbers(mut heartbeat: Heartbeat) -> Heartbeat {
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
        formatter.write_str(&self.state_text())
    }
}
