//! Finds peers that do not answer any more. Time is passed in; the caller sends what [`Action`] says.
//!
//! One peer after the other is probed. One that does not answer is probed again, directly and through another
//! machine, and suspected if that brings nothing either. A monitor that stood still, or that hears nobody,
//! blames itself.

use std::time::{Duration, Instant};

use plankhill_protocol::ids::NodeId;

use crate::peers::monitored;
use crate::relays::{Asker, Relays};

/// Time between two probes; each peer's turn comes every [`crate::peers::MONITORED`] of them. A gone peer is
/// found within 1.5 s + 2 x [`PATIENCE`], well under the contact bound of deployments (3 s).
pub const PERIOD: Duration = Duration::from_millis(500);
/// Time for an answer: many times the way there and back, also of a machine that is five times slower.
pub const PATIENCE: Duration = Duration::from_millis(400);
/// A monitor that wakes this much later than it wanted stood still: what it missed says nothing of others.
const STOOD_STILL: Duration = Duration::from_millis(250);
/// With several peers, a monitor that heard none of them for this long blames its own link.
const HEARD_NOBODY: Duration = Duration::from_millis(2_000);

/// What is to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// A probe of this machine.
    Probe {
        /// Whom.
        to: NodeId,
        /// Comes back with the answer.
        sequence: u64,
    },
    /// A request to another machine to probe one.
    Relay {
        /// Who is asked.
        via: NodeId,
        /// Who is to be probed.
        about: NodeId,
        /// Comes back with the answer.
        sequence: u64,
    },
    /// The news that a probed machine is alive, for the one that asked.
    Alive {
        /// Who asked.
        to: NodeId,
        /// As it counted.
        sequence: u64,
    },
    /// A report to a controller.
    Suspect(NodeId),
}

#[derive(Debug, PartialEq, Eq)]
enum Stage {
    Direct,
    Indirect,
}

#[derive(Debug)]
struct Probe {
    sequence: u64,
    peer: NodeId,
    stage: Stage,
    until: Instant,
}

/// The monitor of one machine.
#[derive(Debug)]
pub struct Monitor {
    me: NodeId,
    others: Vec<NodeId>,
    peers: Vec<NodeId>,
    turn: usize,
    sequence: u64,
    probes: Vec<Probe>,
    relays: Relays,
    due: Instant,
    heard: Instant,
}

impl Monitor {
    /// Monitors nobody yet.
    pub fn new(me: NodeId, now: Instant) -> Self {
        Monitor {
            me,
            others: Vec::new(),
            peers: Vec::new(),
            turn: 0,
            sequence: 0,
            probes: Vec::new(),
            relays: Relays::default(),
            due: now,
            heard: now,
        }
    }

    /// The members changed. Probes of those that stay go on.
    pub fn set_members<'a>(&mut self, members: impl Iterator<Item = &'a NodeId>) {
        self.others = members
            .filter(|member| **member != self.me)
            .cloned()
            .collect();
        self.peers = monitored(&self.me, self.others.iter())
            .into_iter()
            .cloned()
            .collect();
        self.probes.retain(|probe| self.peers.contains(&probe.peer));
    }

    /// The peers that are monitored.
    pub fn peers(&self) -> &[NodeId] {
        &self.peers
    }

    /// When [`Monitor::tick`] is due; None if there is nobody to monitor.
    pub fn next_tick(&self) -> Option<Instant> {
        if self.peers.is_empty() {
            return None;
        }
        self.probes
            .iter()
            .map(|probe| probe.until)
            .chain([self.due])
            .min()
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let Some(wanted) = self.next_tick() else {
            self.due = now;
            self.heard = now;
            return Vec::new();
        };
        if now.saturating_duration_since(wanted) > STOOD_STILL {
            self.probes.clear();
            self.due = now;
            self.heard = now;
        }
        let mut actions = self.follow_up(now);
        if now >= self.due {
            self.due = now + PERIOD;
            actions.extend(self.probe_next(now));
        }
        actions
    }

    /// An answer came, to a probe of this machine's own or to one for another.
    pub fn answered(&mut self, sequence: u64, now: Instant) -> Option<Action> {
        self.heard = now;
        self.probes.retain(|probe| probe.sequence != sequence);
        let asker = self.relays.answered(sequence)?;
        Some(Action::Alive {
            to: asker.node,
            sequence: asker.sequence,
        })
    }

    /// Another machine asks for a probe.
    pub fn relay(&mut self, asker: Asker, about: NodeId, now: Instant) -> Option<Action> {
        if !self.others.contains(&about) {
            return None;
        }
        let sequence = self.next_sequence();
        self.relays
            .begin(sequence, asker, now)
            .then_some(Action::Probe {
                to: about,
                sequence,
            })
    }

    fn follow_up(&mut self, now: Instant) -> Vec<Action> {
        let (over, running) = std::mem::take(&mut self.probes)
            .into_iter()
            .partition(|one| one.until <= now);
        self.probes = running;
        let over: Vec<Probe> = over;
        over.into_iter()
            .flat_map(|probe| self.unanswered(probe, now))
            .collect()
    }

    fn unanswered(&mut self, mut probe: Probe, now: Instant) -> Vec<Action> {
        if probe.stage == Stage::Indirect {
            return if self.hears_others(now) {
                vec![Action::Suspect(probe.peer)]
            } else {
                Vec::new()
            };
        }
        let (peer, sequence) = (probe.peer.clone(), probe.sequence);
        probe.stage = Stage::Indirect;
        probe.until = now + PATIENCE;
        self.probes.push(probe);
        let mut actions = vec![Action::Probe {
            to: peer.clone(),
            sequence,
        }];
        if let Some(via) = self.helper(&peer) {
            actions.push(Action::Relay {
                via,
                about: peer,
                sequence,
            });
        }
        actions
    }

    /// Another machine than the one in doubt, each time another.
    fn helper(&self, peer: &NodeId) -> Option<NodeId> {
        let count = self.others.len();
        let place = self.sequence as usize;
        let turns = (0..count).map(|step| &self.others[(place + step) % count]);
        turns.into_iter().find(|other| *other != peer).cloned()
    }

    fn hears_others(&self, now: Instant) -> bool {
        self.peers.len() < 2 || now.saturating_duration_since(self.heard) < HEARD_NOBODY
    }

    fn probe_next(&mut self, now: Instant) -> Option<Action> {
        self.turn = (self.turn + 1) % self.peers.len();
        let peer = self.peers[self.turn].clone();
        if self.probes.iter().any(|probe| probe.peer == peer) {
            return None;
        }
        let sequence = self.next_sequence();
        let until = now + PATIENCE;
        self.probes.push(Probe {
            sequence,
            peer: peer.clone(),
            stage: Stage::Direct,
            until,
        });
        Some(Action::Probe { to: peer, sequence })
    }

    fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }
}
