//! Detects failed peers with a protocol similar to SWIM (see [`crate::datagram`]). A detector runs
//! in each agent. The agent passes in the current time and executes each returned [`Action`].
//!
//! Peers are probed in turn. A peer that does not answer is probed again, both directly and through
//! another machine, and is suspected if neither probe is answered. A detector that was not
//! scheduled for a while, or that receives no answers from any machine, assumes that its own
//! machine is faulty and suspects no peers.

use std::time::{Duration, Instant};

use plankhill_protocol::ids::NodeId;

use crate::indirect_probes::{IndirectProbes, Requester};
use crate::peers::monitored_peers;

/// Interval between probes. Each peer is probed once every [`crate::peers::MONITORED_PEERS`]
/// intervals, so a failed peer is detected within 1.5 s + 2 x [`PROBE_TIMEOUT`], well below the
/// contact bound of deployments (3 s).
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout for the answer to a probe: many times the round-trip time, even to a machine that is
/// five times slower.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum delay of a tick. After a longer delay the detector was not scheduled in time, so missing
/// answers are no evidence that peers have failed.
const MAX_TICK_DELAY: Duration = Duration::from_millis(250);
/// A detector with several peers that has received no answer for this long is considered isolated.
const ISOLATION_TIMEOUT: Duration = Duration::from_millis(2_000);

/// An action that the agent must execute.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a probe to a machine.
    Probe {
        /// The probed machine.
        to: NodeId,
        /// The sequence number, which is returned in the answer.
        sequence: u64,
    },
    /// Request another machine to probe a peer.
    RequestProbe {
        /// The machine that receives the request.
        via: NodeId,
        /// The machine to be probed.
        about: NodeId,
        /// The sequence number, which is returned in the answer.
        sequence: u64,
    },
    /// Forward the answer of a probed machine to the machine that requested the probe.
    Ack {
        /// The machine that requested the probe.
        to: NodeId,
        /// The requester's sequence number of the probe.
        sequence: u64,
    },
    /// Report the suspected failure of a peer to a controller.
    Suspect(NodeId),
}

/// The stage of a pending probe.
#[derive(Debug, PartialEq, Eq)]
enum ProbeStage {
    /// The first probe is in flight.
    Direct,
    /// The second direct probe is in flight, and an indirect one through another machine.
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
    own_node: NodeId,
    /// All members except this machine.
    others: Vec<NodeId>,
    /// The members that this machine probes.
    peers: Vec<NodeId>,
    /// Index in `peers` of the last probed peer.
    last_probed: usize,
    /// The last assigned sequence number.
    last_sequence: u64,
    pending: Vec<PendingProbe>,
    indirect: IndirectProbes,
    next_probe_at: Instant,
    /// Time of the last answer from any machine.
    last_answer_at: Instant,
}

impl FailureDetector {
    /// Creates a detector without members.
    pub fn new(own_node: NodeId, now: Instant) -> Self {
        FailureDetector {
            own_node,
            others: Vec::new(),
            peers: Vec::new(),
            last_probed: 0,
            last_sequence: 0,
            pending: Vec::new(),
            indirect: IndirectProbes::default(),
            next_probe_at: now,
            last_answer_at: now,
        }
    }

    /// Replaces the members. Probes in flight continue unless their peer is no longer monitored.
    pub fn set_members<'a>(&mut self, members: impl Iterator<Item = &'a NodeId>) {
        let others = members.filter(|member| **member != self.own_node);
        self.others = others.cloned().collect();
        let peers = monitored_peers(&self.own_node, self.others.iter());
        self.peers = peers.into_iter().cloned().collect();
        self.pending
            .retain(|probe| self.peers.contains(&probe.peer));
    }

    /// Returns the monitored peers.
    pub fn peers(&self) -> &[NodeId] {
        &self.peers
    }

    /// Returns the time at which [`FailureDetector::tick`] is due; `None` if there are no peers.
    pub fn next_tick(&self) -> Option<Instant> {
        if self.peers.is_empty() {
            return None;
        }
        let deadlines = self.pending.iter().map(|probe| probe.deadline);
        Some(deadlines.fold(self.next_probe_at, Instant::min))
    }

    /// Handles the probes whose timeout has expired, and probes the next peer if a probe is due.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let Some(due) = self.next_tick() else {
            self.next_probe_at = now;
            self.last_answer_at = now;
            return Vec::new();
        };
        if now.saturating_duration_since(due) > MAX_TICK_DELAY {
            self.pending.clear();
            self.next_probe_at = now;
            self.last_answer_at = now;
        }
        let mut actions = self.handle_expired(now);
        if now >= self.next_probe_at {
            self.next_probe_at = now + PROBE_INTERVAL;
            actions.extend(self.probe_next_peer(now));
        }
        actions
    }

    /// Handles the answer to a probe. Returns the action that forwards the answer if the probe was
    /// sent on behalf of another machine.
    pub fn on_ack(&mut self, sequence: u64, now: Instant) -> Option<Action> {
        self.last_answer_at = now;
        self.pending.retain(|probe| probe.sequence != sequence);
        let requester = self.indirect.on_ack(sequence)?;
        Some(Action::Ack {
            to: requester.node,
            sequence: requester.sequence,
        })
    }

    /// Handles the request of another machine to probe `about`. The request is ignored if `about`
    /// is not a member.
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

    fn handle_expired(&mut self, now: Instant) -> Vec<Action> {
        let pending = std::mem::take(&mut self.pending);
        let (expired, running): (Vec<_>, Vec<_>) =
            pending.into_iter().partition(|probe| probe.deadline <= now);
        self.pending = running;
        let mut actions = Vec::new();
        for probe in expired {
            match probe.stage {
                ProbeStage::Direct => self.start_indirect_probe(probe, now, &mut actions),
                ProbeStage::Indirect if self.is_isolated(now) => {}
                ProbeStage::Indirect => actions.push(Action::Suspect(probe.peer)),
            }
        }
        actions
    }

    /// Probes a peer that did not answer a second time with the same sequence number, both directly
    /// and through another machine.
    fn start_indirect_probe(
        &mut self,
        probe: PendingProbe,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
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

    /// Selects a machine other than `peer`; the choice rotates with the sequence number.
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

    /// Returns whether this machine, rather than its peers, appears to be isolated.
    fn is_isolated(&self, now: Instant) -> bool {
        let since_answer = now.saturating_duration_since(self.last_answer_at);
        self.peers.len() >= 2 && since_answer >= ISOLATION_TIMEOUT
    }

    /// Probes the next peer in turn; `None` if a probe of that peer is still in flight.
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
