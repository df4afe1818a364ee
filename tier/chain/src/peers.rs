//! Whom a member hears, and who hears it.

use std::collections::{BTreeMap, VecDeque};

use plankhill_protocol::ids::NodeId;

use crate::effect::Millis;
use crate::message::{Echo, Heartbeat};
use crate::timing::{GONE, HEARTBEAT, REACHED, SILENCE};
use crate::view::Identity;

/// Own heartbeats whose sending times are kept; covers several seconds.
const SENT_KEPT: usize = 64;
/// Peers known at once; the core of a deployment is a handful of machines.
const PEERS: usize = 64;

/// What is known of one machine.
#[derive(Debug)]
pub(crate) struct Peer {
    /// Its newest heartbeat.
    pub(crate) heartbeat: Heartbeat,
    /// When that came.
    pub(crate) heard_at: Millis,
    /// Heard without a break since.
    pub(crate) steady_since: Millis,
    /// When the newest own heartbeat that it has echoed was sent.
    pub(crate) echoed: Option<Millis>,
    /// The same for the newest one that it has echoed while it was in this member's view and promised nothing.
    pub(crate) confirmed: Option<Millis>,
}

/// All machines heard lately.
#[derive(Debug)]
pub(crate) struct Peers {
    known: BTreeMap<NodeId, Peer>,
    sent: VecDeque<(u64, Millis)>,
    /// Silence is counted from here at the earliest: the start, or the end of a freeze.
    awake_since: Millis,
}

impl Peers {
    pub(crate) fn new(now: Millis) -> Self {
        Self {
            known: BTreeMap::new(),
            sent: VecDeque::new(),
            awake_since: now,
        }
    }

    /// This process did not run for a while: nobody is silent yet.
    pub(crate) fn woke(&mut self, now: Millis) {
        self.awake_since = now;
    }

    /// How long this process has run since then without a freeze.
    pub(crate) fn awake_for(&self, since: Millis, now: Millis) -> Millis {
        now.saturating_sub(since.max(self.awake_since))
    }

    /// An own heartbeat leaves.
    pub(crate) fn sent(&mut self, sequence: u64, now: Millis) {
        self.sent.push_back((sequence, now));
        if self.sent.len() > SENT_KEPT {
            self.sent.pop_front();
        }
    }

    /// When an own heartbeat was sent.
    pub(crate) fn sent_at(&self, sequence: u64) -> Option<Millis> {
        let found = self
            .sent
            .iter()
            .rev()
            .find(|(number, _)| *number == sequence);
        found.map(|(_, at)| *at)
    }

    /// A heartbeat came. `confirms` says whether its sender is in this member's view and unsealed.
    pub(crate) fn heard(
        &mut self,
        heartbeat: Heartbeat,
        me: &Identity,
        confirms: bool,
        now: Millis,
    ) {
        let echo = heartbeat.echoes.iter().find(|echo| echo.identity == *me);
        let echoed = echo.and_then(|echo| self.sent_at(echo.sequence));
        let node = heartbeat.member.identity.node.clone();
        let known = self.known.remove(&node);
        let same = known.filter(|peer| peer.heartbeat.member.identity == heartbeat.member.identity);
        let steady = same
            .as_ref()
            .filter(|peer| now.saturating_sub(peer.heard_at) < SILENCE);
        let confirmed = if confirms { echoed } else { None };
        let peer = Peer {
            steady_since: steady.map_or(now, |peer| peer.steady_since),
            echoed: echoed.max(same.as_ref().and_then(|peer| peer.echoed)),
            confirmed: confirmed.max(same.as_ref().and_then(|peer| peer.confirmed)),
            heard_at: now,
            heartbeat,
        };
        if self.known.len() < PEERS {
            self.known.insert(node, peer);
        }
    }

    /// The view changed: what was confirmed concerns the former one.
    pub(crate) fn forget_confirmations(&mut self) {
        self.known
            .values_mut()
            .for_each(|peer| peer.confirmed = None);
    }

    /// Drops machines that were not heard for long.
    pub(crate) fn prune(&mut self, now: Millis) {
        self.known
            .retain(|_, peer| now.saturating_sub(peer.heard_at) < 4 * GONE);
    }

    /// What is known of a machine's disk, whether or not it is heard at present.
    pub(crate) fn get(&self, identity: &Identity) -> Option<&Peer> {
        self.known
            .get(&identity.node)
            .filter(|peer| peer.heartbeat.member.identity == *identity)
    }

    /// Everyone known.
    pub(crate) fn all(&self) -> impl Iterator<Item = &Peer> {
        self.known.values()
    }

    /// Whether somebody was not heard for too long, or lives on as another.
    pub(crate) fn is_silent(&self, identity: &Identity, now: Millis) -> bool {
        self.silence(identity, now) >= SILENCE
    }

    /// For how long somebody has not been heard; for ever where its disk was replaced.
    pub(crate) fn silence(&self, identity: &Identity, now: Millis) -> Millis {
        match self.known.get(&identity.node) {
            Some(peer) if peer.heartbeat.member.identity != *identity => Millis::MAX,
            Some(peer) => now.saturating_sub(peer.heard_at.max(self.awake_since)),
            None => now.saturating_sub(self.awake_since),
        }
    }

    /// Whether somebody has been heard lately.
    pub(crate) fn is_alive(&self, identity: &Identity, now: Millis) -> bool {
        self.get(identity)
            .is_some_and(|peer| now.saturating_sub(peer.heard_at) < SILENCE)
    }

    /// Whether messages have lately gone both ways.
    pub(crate) fn is_reached(&self, identity: &Identity, now: Millis) -> bool {
        let echoed = self.get(identity).and_then(|peer| peer.echoed);
        self.is_alive(identity, now) && echoed.is_some_and(|at| now.saturating_sub(at) < REACHED)
    }

    /// What own heartbeats echo.
    pub(crate) fn echoes(&self, now: Millis) -> Vec<Echo> {
        let recent = self
            .known
            .values()
            .filter(|peer| now.saturating_sub(peer.heard_at) < SILENCE + HEARTBEAT);
        recent
            .map(|peer| Echo {
                identity: peer.heartbeat.member.identity.clone(),
                sequence: peer.heartbeat.sequence,
            })
            .collect()
    }
}
