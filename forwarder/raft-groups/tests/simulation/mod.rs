//! Several replicas in one seeded simulation: messages are dropped, duplicated, delayed and reordered, disks are slow,
//! clock rates differ, and nodes crash and restart with or without their folder. Every step is checked.

mod checks;
mod command_list;
mod faults;

use std::collections::{BTreeMap, BTreeSet};

use plankhill_raft_groups::replica::effects::{Effects, PersistRequest};
use plankhill_raft_groups::replica::{GroupTiming, PersistedState, Replica};
use plankhill_raft_groups::{GroupId, Incarnation, Purpose, Term};
use raft::eraftpb::Message;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use command_list::CommandList;

/// A deliberate bug, to show that the checks detect it.
#[derive(Clone, Copy, Default, PartialEq)]
pub enum InjectedBug {
    #[default]
    NoBug,
    /// A restarted voter votes immediately.
    VotesAfterRestart,
    /// An instance without its folder restarts under its old incarnation.
    ReusedIncarnation,
    /// The disk acknowledges writes before they are stored.
    EarlyDiskAck,
}

/// The time in milliseconds that a process may stall before the kernel kills it.
const STALL_TIMEOUT_MS: f64 = 120.0;

struct Node {
    replica: Option<Replica>,
    me: Incarnation,
    disk: PersistedState,
    queue: Vec<(f64, PersistRequest)>,
    /// The rate of the node's clock relative to the simulation's clock.
    clock_rate: f64,
    /// The time of the last check that found the lease held.
    lease_held_at: f64,
    ticked_at: f64,
    restart_at: f64,
    last_number: u64,
}

pub struct Simulation {
    now: f64,
    rng: ChaCha8Rng,
    timing: GroupTiming,
    nodes: Vec<Node>,
    in_flight: Vec<(f64, Message)>,
    /// Pairs of sender and receiver.
    blocked_links: BTreeSet<(usize, usize)>,
    group: GroupId,
    injected_bug: InjectedBug,
    pub last_leader_state: Vec<u64>,
    pub committed: BTreeSet<u64>,
    pub discarded: BTreeSet<u64>,
    leader_by_term: BTreeMap<Term, Incarnation>,
    next_command: u64,
    last_incarnation: u64,
    proposed_commands: BTreeMap<(Incarnation, u64), u64>,
    pub violations: Vec<String>,
    pub election_count: usize,
    /// Whether no commands are proposed.
    pub are_proposals_paused: bool,
    command_padding: usize,
    /// The numbers that a disk with `EarlyDiskAck` will acknowledge.
    early_acks: Vec<(usize, u64)>,
}

impl Simulation {
    pub fn new(
        seed: u64,
        voters: usize,
        command_padding: usize,
        injected_bug: InjectedBug,
    ) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut timing = GroupTiming::new(40.0, 400.0, STALL_TIMEOUT_MS);
        timing.seed = Some(seed);
        let ids: Vec<Incarnation> = (1..=voters as u64).map(Incarnation).collect();
        let group = GroupId {
            founder: ids[0],
            number: 1,
        };
        let node = |me: &Incarnation| Node {
            replica: None,
            me: *me,
            disk: PersistedState::founded(&ids, &CommandList::default()),
            queue: Vec::new(),
            clock_rate: rng.random_range(0.98..1.02),
            lease_held_at: f64::NEG_INFINITY,
            ticked_at: 0.0,
            restart_at: 0.0,
            last_number: 0,
        };
        let nodes = ids.iter().map(node).collect();
        Simulation {
            now: 0.0,
            rng,
            timing,
            nodes,
            in_flight: Vec::new(),
            blocked_links: BTreeSet::new(),
            group,
            injected_bug,
            last_leader_state: Vec::new(),
            committed: BTreeSet::new(),
            discarded: BTreeSet::new(),
            leader_by_term: BTreeMap::new(),
            next_command: 0,
            last_incarnation: 100,
            proposed_commands: BTreeMap::new(),
            violations: Vec::new(),
            election_count: 0,
            are_proposals_paused: false,
            command_padding,
            early_acks: Vec::new(),
        }
    }

    /// Runs the simulation for `span` milliseconds, with faults if `fault_rate` is above zero.
    pub fn run(&mut self, span: f64, fault_rate: f64) {
        let end = self.now + span;
        while self.now < end && self.violations.is_empty() {
            self.now += 1.0;
            self.start_nodes();
            self.complete_writes();
            self.deliver(fault_rate);
            self.tick_nodes();
            self.propose_commands();
            self.replace_lost_members();
            self.inject_faults(fault_rate);
            self.check_leases();
        }
    }

    /// Unblocks all links and restarts all crashed nodes.
    pub fn heal(&mut self) {
        self.blocked_links.clear();
        for node in &mut self.nodes {
            node.restart_at = self.now;
        }
    }

    fn start_nodes(&mut self) {
        for at in 0..self.nodes.len() {
            let (now, timing, group) = (self.now, self.timing, self.group);
            let node = &mut self.nodes[at];
            if node.replica.is_some() || now < node.restart_at {
                continue;
            }
            let restarted = now > 1.0 && self.injected_bug != InjectedBug::VotesAfterRestart;
            let disk = &node.disk;
            let (base, hard_state, entries) =
                (disk.base.clone(), disk.hard_state, disk.entries.clone());
            let kept = PersistedState {
                base,
                hard_state,
                entries,
                is_restart: restarted,
            };
            let replica = Replica::new(
                group,
                Purpose::EventLog,
                node.me,
                kept,
                Box::<CommandList>::default(),
                timing,
            );
            node.replica = Some(replica.expect("a synced folder is valid"));
            node.last_number = 0;
        }
    }

    fn complete_writes(&mut self) {
        let early_acks = std::mem::take(&mut self.early_acks);
        if self.injected_bug == InjectedBug::EarlyDiskAck {
            for (at, number) in early_acks {
                self.with_replica(at, |replica, out| replica.persisted(number, out));
            }
        }
        for at in 0..self.nodes.len() {
            while self.nodes[at]
                .queue
                .first()
                .is_some_and(|(due, _)| *due <= self.now)
            {
                let (_, persist) = self.nodes[at].queue.remove(0);
                let number = persist.number;
                self.nodes[at].disk.apply(persist);
                self.with_replica(at, |replica, out| replica.persisted(number, out));
            }
        }
    }

    fn deliver(&mut self, fault_rate: f64) {
        let now = self.now;
        let (due, rest) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.in_flight = rest;
        let due: Vec<(f64, Message)> = due;
        for (_, message) in due {
            let find = |id: u64| self.nodes.iter().position(|n| n.me.0 == id);
            let (Some(from), Some(to)) = (find(message.from), find(message.to)) else {
                continue;
            };
            if self.blocked_links.contains(&(from, to)) || self.rng.random_bool(0.05 * fault_rate) {
                continue;
            }
            if self.rng.random_bool(0.05 * fault_rate) {
                self.in_flight
                    .push((now + self.rng.random_range(0.0..300.0), message.clone()));
            }
            self.with_replica(to, |replica, out| replica.step(message, out));
        }
    }

    fn tick_nodes(&mut self) {
        for at in 0..self.nodes.len() {
            let local = self.now * self.nodes[at].clock_rate;
            if local >= self.nodes[at].ticked_at + self.timing.tick {
                self.nodes[at].ticked_at = local;
                self.with_replica(at, |replica, out| replica.tick(local, out));
            }
        }
    }

    fn propose_commands(&mut self) {
        for at in 0..self.nodes.len() {
            let is_leader = self.nodes[at]
                .replica
                .as_ref()
                .is_some_and(|c| c.is_leader());
            if is_leader && !self.are_proposals_paused && self.rng.random_bool(0.1) {
                self.next_command += 1;
                let command = self.next_command;
                self.nodes[at].last_number += 1;
                let (me, number) = (self.nodes[at].me, self.nodes[at].last_number);
                self.proposed_commands.insert((me, number), command);
                let mut bytes = command.to_le_bytes().to_vec();
                bytes.resize(8 + self.command_padding, 0);
                self.with_replica(at, |replica, out| replica.propose(number, bytes, out));
            }
        }
    }

    fn with_replica(&mut self, at: usize, act: impl FnOnce(&mut Replica, &mut Effects)) {
        let node = &mut self.nodes[at];
        let Some(replica) = &mut node.replica else {
            return;
        };
        let mut out = Effects::default();
        act(replica, &mut out);
        let (fault, me) = (replica.fault(), node.me);
        if let Some(fault) = fault {
            self.violations
                .push(format!("{me:?} cannot continue: {fault:?}"));
        }
        for persist in out.persist {
            self.early_acks.push((at, persist.number));
            let due = self.now + self.rng.random_range(0.0..30.0);
            let due = node.queue.last().map_or(due, |(last, _)| last.max(due));
            node.queue.push((due, persist));
        }
        for message in out.messages {
            let due = self.now + self.rng.random_range(0.0..15.0);
            self.in_flight.push((due, message));
        }
        for event in out.events {
            self.on_event(me, event);
        }
    }
}
