//! Several replicas in one seeded simulation: frames are dropped, doubled, delayed and reordered, disks are slow, clocks
//! run apart, nodes crash and come back with or without their folder. Every step is checked.

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

/// What is done wrong on purpose, to show that the checks bite.
#[derive(Clone, Copy, Default, PartialEq)]
pub enum Planted {
    #[default]
    Nothing,
    /// A restarted voter votes at once.
    VotesAtOnce,
    /// An instance without its folder comes back under its old incarnation.
    SameLife,
    /// The disk acknowledges before it has anything.
    DiskLies,
}

/// Milliseconds that a process may stand still before the kernel ends it.
const STALL: f64 = 120.0;

struct Node {
    core: Option<Replica>,
    me: Incarnation,
    disk: PersistedState,
    queue: Vec<(f64, PersistRequest)>,
    /// Its clock against the world's.
    rate: f64,
    /// When it was last seen to hold.
    held: f64,
    ticked: f64,
    back_at: f64,
    number: u64,
}

pub struct World {
    now: f64,
    rng: ChaCha8Rng,
    pace: GroupTiming,
    nodes: Vec<Node>,
    frames: Vec<(f64, Message)>,
    /// From, to.
    cut: BTreeSet<(usize, usize)>,
    group: GroupId,
    planted: Planted,
    pub agreed: Vec<u64>,
    pub committed: BTreeSet<u64>,
    pub void: BTreeSet<u64>,
    terms: BTreeMap<Term, Incarnation>,
    next_command: u64,
    lives: u64,
    asked: BTreeMap<(Incarnation, u64), u64>,
    pub faults: Vec<String>,
    pub leads: usize,
    /// Nothing is proposed.
    pub quiet: bool,
    large: usize,
    /// Numbers that a lying disk will acknowledge.
    lied: Vec<(usize, u64)>,
}

impl World {
    pub fn new(seed: u64, voters: usize, large: usize, planted: Planted) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut pace = GroupTiming::new(40.0, 400.0, STALL);
        pace.seed = Some(seed);
        let ids: Vec<Incarnation> = (1..=voters as u64).map(Incarnation).collect();
        let group = GroupId {
            founder: ids[0],
            number: 1,
        };
        let node = |me: &Incarnation| Node {
            core: None,
            me: *me,
            disk: PersistedState::founded(&ids, &CommandList::default()),
            queue: Vec::new(),
            rate: rng.random_range(0.98..1.02),
            held: f64::NEG_INFINITY,
            ticked: 0.0,
            back_at: 0.0,
            number: 0,
        };
        let nodes = ids.iter().map(node).collect();
        World {
            now: 0.0,
            rng,
            pace,
            nodes,
            frames: Vec::new(),
            cut: BTreeSet::new(),
            group,
            planted,
            agreed: Vec::new(),
            committed: BTreeSet::new(),
            void: BTreeSet::new(),
            terms: BTreeMap::new(),
            next_command: 0,
            lives: 100,
            asked: BTreeMap::new(),
            faults: Vec::new(),
            leads: 0,
            quiet: false,
            large,
            lied: Vec::new(),
        }
    }

    /// Runs the world for `span` milliseconds, with faults where `rough` is above zero.
    pub fn run(&mut self, span: f64, rough: f64) {
        let end = self.now + span;
        while self.now < end && self.faults.is_empty() {
            self.now += 1.0;
            self.starts();
            self.disks();
            self.deliver(rough);
            self.ticks();
            self.proposals();
            self.replacements();
            self.inject_faults(rough);
            self.check_holds();
        }
    }

    /// Everything is whole again.
    pub fn heal(&mut self) {
        self.cut.clear();
        for node in &mut self.nodes {
            node.back_at = self.now;
        }
    }

    fn starts(&mut self) {
        for at in 0..self.nodes.len() {
            let (now, pace, group) = (self.now, self.pace, self.group);
            let node = &mut self.nodes[at];
            if node.core.is_some() || now < node.back_at {
                continue;
            }
            let restarted = now > 1.0 && self.planted != Planted::VotesAtOnce;
            let disk = &node.disk;
            let (base, hard_state, entries) =
                (disk.base.clone(), disk.hard_state, disk.entries.clone());
            let kept = PersistedState {
                base,
                hard_state,
                entries,
                is_restart: restarted,
            };
            let core = Replica::new(
                group,
                Purpose::EventLog,
                node.me,
                kept,
                Box::<CommandList>::default(),
                pace,
            );
            node.core = Some(core.expect("a folder that was synced is whole"));
            node.number = 0;
        }
    }

    fn disks(&mut self) {
        let lied = std::mem::take(&mut self.lied);
        if self.planted == Planted::DiskLies {
            for (at, number) in lied {
                self.with(at, |core, out| core.persisted(number, out));
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
                self.with(at, |core, out| core.persisted(number, out));
            }
        }
    }

    fn deliver(&mut self, rough: f64) {
        let now = self.now;
        let (due, rest) = std::mem::take(&mut self.frames)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.frames = rest;
        let due: Vec<(f64, Message)> = due;
        for (_, message) in due {
            let find = |id: u64| self.nodes.iter().position(|n| n.me.0 == id);
            let (Some(from), Some(to)) = (find(message.from), find(message.to)) else {
                continue;
            };
            if self.cut.contains(&(from, to)) || self.rng.random_bool(0.05 * rough) {
                continue;
            }
            if self.rng.random_bool(0.05 * rough) {
                self.frames
                    .push((now + self.rng.random_range(0.0..300.0), message.clone()));
            }
            self.with(to, |core, out| core.step(message, out));
        }
    }

    fn ticks(&mut self) {
        for at in 0..self.nodes.len() {
            let local = self.now * self.nodes[at].rate;
            if local >= self.nodes[at].ticked + self.pace.tick {
                self.nodes[at].ticked = local;
                self.with(at, |core, out| core.tick(local, out));
            }
        }
    }

    fn proposals(&mut self) {
        for at in 0..self.nodes.len() {
            let leads = self.nodes[at].core.as_ref().is_some_and(|c| c.is_leader());
            if leads && !self.quiet && self.rng.random_bool(0.1) {
                self.next_command += 1;
                let command = self.next_command;
                self.nodes[at].number += 1;
                let (me, number) = (self.nodes[at].me, self.nodes[at].number);
                self.asked.insert((me, number), command);
                let mut bytes = command.to_le_bytes().to_vec();
                bytes.resize(8 + self.large, 0);
                self.with(at, |core, out| core.propose(number, bytes, out));
            }
        }
    }

    fn with(&mut self, at: usize, act: impl FnOnce(&mut Replica, &mut Effects)) {
        let node = &mut self.nodes[at];
        let Some(core) = &mut node.core else { return };
        let mut out = Effects::default();
        act(core, &mut out);
        let (fault, me) = (core.fault(), node.me);
        if let Some(fault) = fault {
            self.faults.push(format!("{me:?} can't go on: {fault:?}"));
        }
        for persist in out.persist {
            self.lied.push((at, persist.number));
            let due = self.now + self.rng.random_range(0.0..30.0);
            let due = node.queue.last().map_or(due, |(last, _)| last.max(due));
            node.queue.push((due, persist));
        }
        for message in out.messages {
            let due = self.now + self.rng.random_range(0.0..15.0);
            self.frames.push((due, message));
        }
        for news in out.events {
            self.hear(me, news);
        }
    }
}
