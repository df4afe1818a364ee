//! Failure detector: tracks from which peers this member receives heartbeats, and which peers
//! receive its own. From both, `member/reconfiguration.rs` decides whether another view is needed.
//!
//! Timeouts count only while this process runs, so that no peer times out immediately after a
//! freeze. Echoes return the sequence numbers of received heartbeats, so that all times are
//! measured on this member's own clock.
//!
//! An echo also confirms the view of this member if the peer was in the same view and not sealed. A
//! sealed member takes no further operations in its view ([`Heartbeat::sealed`]).

use std::collections::{BTreeMap, VecDeque};

use plankhill_protocol::ids::NodeId;

use crate::age::{age, age_of};
use crate::effect::Millis;
use crate::message::{Echo, Heartbeat};
use crate::timing::{
    ECHO_TTL, FREEZE_THRESHOLD, HEARTBEAT_INTERVAL, PEER_TIMEOUT, VOTER_REMOVAL_TIMEOUT,
};
use crate::view::{Identity, Member};

/// Number of own heartbeats whose send times are retained; covers several seconds.
const MAX_SENT_HEARTBEATS: usize = 64;
/// Maximum number of tracked peers; the core of a deployment is a handful of machines.
const MAX_PEERS: usize = 64;
/// A peer is removed when no heartbeat has been received from it for this long.
const PEER_TTL: Millis = 4 * VOTER_REMOVAL_TIMEOUT;

/// State of one peer machine.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    heartbeat: Heartbeat,
    received_at: Millis,
    /// Time since which heartbeats have arrived without a gap of [`PEER_TIMEOUT`].
    stable_since: Millis,
    /// Send time of the newest own heartbeat that the peer has echoed.
    echoed_sent_at: Option<Millis>,
    /// Send time of the newest own heartbeat that the peer has echoed while it was in this member's
    /// view and not sealed.
    confirmed_sent_at: Option<Millis>,
}

impl Peer {
    /// The newest heartbeat received from the peer.
    pub(crate) fn heartbeat(&self) -> &Heartbeat {
        &self.heartbeat
    }

    /// Identity and address of the peer.
    pub(crate) fn member(&self) -> &Member {
        &self.heartbeat.member
    }

    /// Machine and disk incarnation of the peer.
    pub(crate) fn identity(&self) -> &Identity {
        &self.heartbeat.member.identity
    }

    /// Duration for which heartbeats have arrived without a gap of [`PEER_TIMEOUT`].
    pub(crate) fn stable_for(&self, now: Millis) -> Millis {
        now.saturating_sub(self.stable_since)
    }

    /// A time on this member's clock at which the peer was certainly in this member's view and not
    /// sealed.
    pub(crate) fn confirmed_at(&self) -> Option<Millis> {
        self.confirmed_sent_at
    }

    fn with_ages(mut self, now: Millis) -> Self {
        self.received_at = age(self.received_at, now);
        self.stable_since = age(self.stable_since, now);
        self.echoed_sent_at = age_of(self.echoed_sent_at, now);
        self.confirmed_sent_at = age_of(self.confirmed_sent_at, now);
        self.heartbeat.sequence = 0;
        for echo in &mut self.heartbeat.echoes {
            echo.sequence = 0;
        }
        self
    }

    fn age(&self, now: Millis) -> Millis {
        now.saturating_sub(self.received_at)
    }
}

/// Whether a heartbeat confirms the receiver's view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ViewConfirmation {
    /// The sender is in the receiver's view and not sealed.
    Confirmed,
    /// The sender is in another view, or sealed.
    NotConfirmed,
}

/// State of all peers from which heartbeats were received recently.
#[derive(Clone, Debug)]
pub(crate) struct FailureDetector {
    peers: BTreeMap<NodeId, Peer>,
    /// Sequence numbers and send times of own heartbeats, oldest first.
    sent: VecDeque<SentHeartbeat>,
    /// Earliest time from which timeouts are measured: the start of the process, or the end of its
    /// last freeze.
    running_since: Millis,
    last_tick_at: Millis,
}

#[derive(Clone, Copy, Debug)]
struct SentHeartbeat {
    sequence: u64,
    sent_at: Millis,
}

impl FailureDetector {
    /// Creates a failure detector without peers.
    pub(crate) fn new(now: Millis) -> Self {
        Self {
            peers: BTreeMap::new(),
            sent: VecDeque::new(),
            running_since: now,
            last_tick_at: now,
        }
    }

    /// Detects a freeze of this process, and removes peers after [`PEER_TTL`] ms without a
    /// heartbeat.
    pub(crate) fn tick(&mut self, now: Millis) {
        if now.saturating_sub(self.last_tick_at) >= FREEZE_THRESHOLD {
            self.running_since = now;
        }
        self.last_tick_at = now;
        self.peers.retain(|_, peer| peer.age(now) < PEER_TTL);
    }

    /// Duration for which this process has run without a freeze since the given time.
    pub(crate) fn running_for(&self, since: Millis, now: Millis) -> Millis {
        now.saturating_sub(since.max(self.running_since))
    }

    /// Records the send time of an own heartbeat.
    pub(crate) fn record_sent(&mut self, sequence: u64, now: Millis) {
        self.sent.push_back(SentHeartbeat {
            sequence,
            sent_at: now,
        });
        if self.sent.len() > MAX_SENT_HEARTBEATS {
            self.sent.pop_front();
        }
    }

    /// Send time of the own heartbeat that a received heartbeat echoes, if that send time is
    /// retained.
    pub(crate) fn echoed_sent_at(
        &self,
        heartbeat: &Heartbeat,
        local_identity: &Identity,
    ) -> Option<Millis> {
        let sequence = heartbeat.echo_of(local_identity)?.sequence;
        let echoed = self
            .sent
            .iter()
            .rev()
            .find(|sent| sent.sequence == sequence)?;
        Some(echoed.sent_at)
    }

    /// Records a received heartbeat.
    pub(crate) fn record_received(
        &mut self,
        heartbeat: Heartbeat,
        local_identity: &Identity,
        confirmation: ViewConfirmation,
        now: Millis,
    ) {
        let node = heartbeat.member.identity.node.clone();
        let echoed = self.echoed_sent_at(&heartbeat, local_identity);
        let confirmed = match confirmation {
            ViewConfirmation::Confirmed => echoed,
            ViewConfirmation::NotConfirmed => None,
        };
        let mut peer = Peer {
            heartbeat,
            received_at: now,
            stable_since: now,
            echoed_sent_at: echoed,
            confirmed_sent_at: confirmed,
        };
        if let Some(previous) = self.peers.remove(&node) {
            if previous.identity() == peer.identity() {
                if previous.age(now) < PEER_TIMEOUT {
                    peer.stable_since = previous.stable_since;
                }
                peer.echoed_sent_at = echoed.max(previous.echoed_sent_at);
                peer.confirmed_sent_at = confirmed.max(previous.confirmed_sent_at);
            }
        }
        if self.peers.len() < MAX_PEERS {
            self.peers.insert(node, peer);
        }
    }

    /// Discards the confirmations of the previous view.
    pub(crate) fn clear_confirmations(&mut self) {
        for peer in self.peers.values_mut() {
            peer.confirmed_sent_at = None;
        }
    }

    /// The peer with this identity, whether or not its heartbeats still arrive.
    pub(crate) fn peer(&self, identity: &Identity) -> Option<&Peer> {
        let peer = self.peers.get(&identity.node)?;
        (peer.identity() == identity).then_some(peer)
    }

    /// The peer on this machine, regardless of its incarnation.
    pub(crate) fn peer_on(&self, node: &NodeId) -> Option<&Peer> {
        self.peers.get(node)
    }

    /// All tracked peers.
    pub(crate) fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Returns whether no heartbeat has been received for [`PEER_TIMEOUT`] ms, or the machine has
    /// returned with another disk.
    pub(crate) fn has_timed_out(&self, identity: &Identity, now: Millis) -> bool {
        self.time_since_heartbeat(identity, now) >= PEER_TIMEOUT
    }

    /// Time without a heartbeat; the maximum if the machine has returned with another disk.
    pub(crate) fn time_since_heartbeat(&self, identity: &Identity, now: Millis) -> Millis {
        match self.peers.get(&identity.node) {
            Some(peer) if peer.identity() != identity => Millis::MAX,
            Some(peer) => self.running_for(peer.received_at, now),
            None => now.saturating_sub(self.running_since),
        }
    }

    /// Returns whether a heartbeat was received within the last [`PEER_TIMEOUT`] ms. Unlike
    /// [`FailureDetector::has_timed_out`], there is no grace period after a start or a freeze.
    pub(crate) fn is_alive(&self, identity: &Identity, now: Millis) -> bool {
        self.peer(identity)
            .is_some_and(|peer| peer.age(now) < PEER_TIMEOUT)
    }

    /// Returns whether heartbeats have recently been received in both directions.
    pub(crate) fn is_reachable(&self, identity: &Identity, now: Millis) -> bool {
        let Some(echoed_sent_at) = self.peer(identity).and_then(|peer| peer.echoed_sent_at) else {
            return false;
        };
        self.is_alive(identity, now) && now.saturating_sub(echoed_sent_at) < ECHO_TTL
    }

    /// Copies of the peers with times replaced by ages. Sequence numbers, which only identify
    /// heartbeats, are set to 0.
    pub(crate) fn with_ages(&self, now: Millis) -> Vec<Peer> {
        let peers = self.peers.values().cloned();
        peers.map(|peer| peer.with_ages(now)).collect()
    }

    /// Echoes for the next own heartbeat.
    pub(crate) fn echoes(&self, now: Millis) -> Vec<Echo> {
        let is_recent = |peer: &&Peer| peer.age(now) < PEER_TIMEOUT + HEARTBEAT_INTERVAL;
        let echo = |peer: &Peer| Echo {
            identity: peer.identity().clone(),
            sequence: peer.heartbeat.sequence,
        };
        self.peers.values().filter(is_recent).map(echo).collect()
    }
}
