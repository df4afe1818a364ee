//! Finds peers that have failed, in the manner of SWIM (see [`crate::datagram`]). Runs in each
//! agent; time is passed in, and the agent sends what [`Action`] says.
//!
//! One peer after the other is probed. A peer that does not answer is probed again, directly and
//! through another machine, and suspected if no answer comes by either way. A detector that did not
//! run for a while, or that receives no answer of any peer, takes itself for the faulty one and
//! suspects nobody.

use std::time::{Duration, Instant};

use plankhill_protocol::ids::NodeId;

use crate::indirect_probes::{IndirectProbes, Requester};
use crate::peers::monitored_peers;

/// Time between two probes; each peer's turn comes every [`crate::peers::MONITORED_PEERS`] of them.
/// A failed peer is found within 1.5 s + 2 x [`PROBE_TIMEOUT`], well under the contact bound of
/// deployments (3 s).
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Time for an answer: many times the way there and back, also of a machine that is five times
/// slower.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// A detector that is called this much later than due did not run: missing answers say nothing of
/// the peers.
const MAX_TICK_DELAY: Duration = Duration::from_millis(250);
/// With several peers, a detector that received no answer of any for this long is cut off itself.
const ISOLATION_TIMEOUT: Duration = Duration::from_millis(2_000);

/// What the agent has to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// A probe of a machine.
    Probe {
        /// The machine that is probed.
        to: NodeId,
        /// Comes back with the answer.
        sequence: u64,
    },
    /// A request to another machine to probe one.
    RequestProbe {
        /// The machine that is asked.
        via: NodeId,
        /// The machine that is probed.
        about: NodeId,
        /// Comes back with the answer.
        sequence: u64,
    },
    /// The answer of a probed machine, for the machine that asked for the probe.
    Ack {
        /// The machine that asked.
        to: NodeId,
        /// Its number of the probe.
        sequence: u64,
    },
    /// A report to a controller: this peer has failed.
    Suspect(NodeId),
}

/// How far the probing of one peer has come.
#[derive(Debug, PartialEq, Eq)]
enum ProbeStage {
    /// The first probe is in flight.
    Direct,
    /// A second probe is in flight, and one through another machine.
    Indirect,
}

/// A probe in flight.
#[derive(Debug)]
struct PendingProbe {
    sequence: u64,
    peer: NodeId,
    stage: ProbeStage,
    deadline: Instant,
}

/// The failure detector of one machine.
#[derive(Debug)]
pub struct FailureDetector {
    me: NodeId,
    /// All members but this machine.
    others: Vec<NodeId>,
    /// The members that this machine probes.
    peers: Vec<NodeId>,
    /// Index in `peers` of the one that was probed last.
    last_probed: usize,
    /// The last number given to a probe.
    last_sequence: u64,
    pending: Vec<PendingProbe>,
    indirect: IndirectProbes,
    next_probe_at: Instant,
    /// When the last answer came from any machine.
    last_answer: Instant,
}

impl FailureDetector {
    /// A detector that knows no members yet.
    pub fn new(me: NodeId, now: Instant) -> Self {
        FailureDetector {
            me,
            others: Vec::new(),
            peers: Vec::new(),
            last_probed: 0,
            last_sequence: 0,
            pending: Vec::new(),
            indirect: IndirectProbes::default(),
            next_probe_at: now,
            last_answer: now,
        }
    }

    /// Takes the members. Probes in flight go on, unless their peer is not probed any more.
    pub fn set_members<'a>(&mut self, members: impl Iterator<Item = &'a NodeId>) {
        let others = members.filter(|member| **member != self.me);
        self.others = others.cloned().collect();
        let peers = monitored_peers(&self.me, self.others.iter());
        self.peers = peers.into_iter().cloned().collect();
        self.pending
            .retain(|probe| self.peers.contains(&probe.peer));
    }

    /// The peers that are probed.
    pub fn peers(&self) -> &[NodeId] {
        &self.peers
    }

    /// When [`FailureDetector::tick`] is due; `None` if there is no peer.
    pub fn next_tick(&self) -> Option<Instant> {
        if self.peers.is_empty() {
            return None;
        }
        let deadlines = self.pending.iter().map(|probe| probe.deadline);
        Some(deadlines.fold(self.next_probe_at, Instant::min))
    }

    /// Follows up the probes that nobody answered in time, and probes the next peer if one is due.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let Some(due) = self.next_tick() else {
            self.next_probe_at = now;
            self.last_answer = now;
            return Vec::new();
        };
        if now.saturating_duration_since(due) > MAX_TICK_DELAY {
            self.pending.clear();
            self.next_probe_at = now;
            self.last_answer = now;
        }
        let mut actions = self.follow_up_expired(now);
        if now >= self.next_probe_at {
            self.next_probe_at = now + PROBE_INTERVAL;
            actions.extend(self.probe_next_peer(now));
        }
        actions
    }

    /// Takes an answer to a probe of this machine's own, or to one for another machine.
    pub fn on_ack(&mut self, sequence: u64, now: Instant) -> Option<Action> {
        self.last_answer = now;
        self.pending.retain(|probe| probe.sequence != sequence);
        let requester = self.indirect.on_ack(sequence)?;
        Some(Action::Ack {
            to: requester.node,
            sequence: requester.sequence,
        })
    }

    /// Takes the request of another machine to probe `about`. Machines that are no members are not
    /// probed.
    pub fn on_probe_request(
        &mut self,
        requester: Requester,
        about: NodeId,
        now: Instant,
    ) -> Option<Action> {
        if !self.others.contains(&about) {
            return None;
        }
        let sequence = self.next_sequence();
        if !self.indirect.begin(sequence, requester, now) {
            return None;
        }
        Some(Action::Probe {
            to: about,
            sequence,
        })
    }

    fn follow_up_expired(&mut self, now: Instant) -> Vec<Action> {
        let pending = std::mem::take(&mut self.pending);
        let (expired, running): (Vec<_>, Vec<_>) =
            pending.into_iter().partition(|probe| probe.deadline <= now);
        self.pending = running;
        let mut actions = Vec::new();
        for probe in expired {
            match probe.stage {
                ProbeStage::Direct => self.probe_again(probe, now, &mut actions),
                ProbeStage::Indirect if self.is_isolated(now) => {}
                ProbeStage::Indirect => actions.push(Action::Suspect(probe.peer)),
            }
        }
        actions
    }

    /// Probes a peer that did not answer once more, under the same number: directly and through
    /// another machine.
    fn probe_again(&mut self, probe: PendingProbe, now: Instant, actions: &mut Vec<Action>) {
        let PendingProbe { sequence, peer, .. } = probe;
        self.pending.push(PendingProbe {
            sequence,
            peer: peer.clone(),
            stage: ProbeStage::Indirect,
            deadline: now + PROBE_TIMEOUT,
        });
        actions.push(Action::Probe {
            to: peer.clone(),
            sequence,
        });
        if let Some(via) = self.intermediary_for(&peer) {
            actions.push(Action::RequestProbe {
                via,
                about: peer,
                sequence,
            });
        }
    }

    /// A machine other than `peer`, each time another one.
    fn intermediary_for(&self, peer: &NodeId) -> Option<NodeId> {
        let count = self.others.len();
        let start = self.last_sequence as usize;
        for step in 0..count {
            let candidate = &self.others[(start + step) % count];
            if candidate != peer {
                return Some(candidate.clone());
            }
        }
        None
    }

    /// Whether this machine, and not its peers, seems to be cut off.
    fn is_isolated(&self, now: Instant) -> bool {
        let since_answer = now.saturating_duration_since(self.last_answer);
        self.peers.len() >= 2 && since_answer >= ISOLATION_TIMEOUT
    }

    /// Probes the next peer in turn; `None` if a probe of it is still in flight.
    fn probe_next_peer(&mut self, now: Instant) -> Option<Action> {
        self.last_probed = (self.last_probed + 1) % self.peers.len();
        let peer = self.peers[self.last_probed].clone();
        if self.pending.iter().any(|probe| probe.peer == peer) {
            return None;
        }
        let sequence = self.next_sequence();
        self.pending.push(PendingProbe {
            sequence,
            peer: peer.clone(),
            stage: ProbeStage::Direct,
            deadline: now + PROBE_TIMEOUT,
        });
        Some(Action::Probe { to: peer, sequence })
    }

    fn next_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }
}
