//! Acceptance and reachability of peers. The start of another instance's folder is stored and synced before any message
//! from that instance is handled, so that an older copy of the folder is detected.

use super::peer_state::AcceptedConnection;
use super::pending_stores::AfterStore;
use super::thread::GroupsThread;
use crate::disk::known_starts::{KnownStart, MAX_KNOWN_STARTS};
use crate::disk::thread::ToDisk;
use crate::links::channels::{PeerIndex, ToLinks};
use crate::wire::message::{Hello, HelloReply, PROTOCOL_VERSION};
use crate::{GroupEvent, GroupId, Incarnation};

/// A start that is older than the known start of the same incarnation, or differs from the known start of the same
/// generation.
struct StaleStart {
    known_generation: u64,
}

impl GroupsThread {
    pub(super) fn hello_to(&self, to: PeerIndex) -> Hello {
        Hello {
            version: PROTOCOL_VERSION,
            fleet: self.instance.fleet.name.clone(),
            name: self.instance.name_of(self.instance.me),
            to: self.instance.name_of(to),
            incarnation: self.incarnation(),
            start: self.identity.start,
            control: self.control,
        }
    }

    /// Checks a start against the known starts, and requests its storage if it is new.
    fn check_start(&mut self, hello: &Hello) -> Result<(), StaleStart> {
        let known = self.known_starts.get(&hello.incarnation);
        if let Some(known) = known {
            let is_older = hello.start.generation < known.start.generation;
            let is_conflicting = hello.start.generation == known.start.generation
                && hello.start.nonce != known.start.nonce;
            if is_older || is_conflicting || known.name != hello.name {
                return Err(StaleStart {
                    known_generation: known.start.generation,
                });
            }
        }
        if hello.incarnation == self.incarnation() {
            return Err(StaleStart {
                known_generation: self.identity.start.generation,
            });
        }
        let start = KnownStart {
            name: hello.name.clone(),
            start: hello.start,
        };
        if known != Some(&start) {
            self.evict_known_start_if_full();
            self.known_starts.insert(hello.incarnation, start);
            let token = self.stores.next_token();
            let known_starts = self.known_starts.clone();
            self.rings.disk.send(ToDisk::StoreKnownStarts {
                known_starts,
                token,
            });
        }
        Ok(())
    }

    /// If the limit is reached, evicts an incarnation that is neither a member of any group nor connected.
    fn evict_known_start_if_full(&mut self) {
        if self.known_starts.len() < MAX_KNOWN_STARTS {
            return;
        }
        let is_needed = |incarnation: Incarnation| {
            self.peers
                .iter()
                .any(|peer| peer.connected == Some(incarnation))
                || self
                    .groups
                    .values()
                    .any(|hosted| hosted.replica.is_member(incarnation))
        };
        let unneeded = self
            .known_starts
            .keys()
            .copied()
            .find(|incarnation| !is_needed(*incarnation));
        if let Some(unneeded) = unneeded {
            self.known_starts.remove(&unneeded);
        }
    }

    pub(super) fn on_hello(&mut self, connection: u64, peer: PeerIndex, hello: &Hello) {
        match self.check_start(hello) {
            Ok(()) => {
                let incarnation = hello.incarnation;
                self.after_stores(AfterStore::WelcomePeer {
                    connection,
                    peer,
                    incarnation,
                });
            }
            Err(StaleStart { known_generation }) => {
                let reply = HelloReply::StaleFolder { known_generation };
                self.rings.links.send(ToLinks::Reply { connection, reply });
            }
        }
    }

    pub(super) fn on_hello_reply(&mut self, peer: PeerIndex, reply: HelloReply) {
        match reply {
            HelloReply::StaleFolder { known_generation } => {
                self.reject_own_folder(peer, known_generation);
            }
            HelloReply::Welcome(hello) => {
                let is_expected = hello.name == self.instance.name_of(peer)
                    && hello.fleet == self.instance.fleet.name;
                match self.check_start(&hello) {
                    Ok(()) if is_expected => self.after_stores(AfterStore::ConnectPeer {
                        peer,
                        incarnation: hello.incarnation,
                        control: hello.control,
                    }),
                    // A peer with a stale folder learns the reason from the reply on its own connections.
                    _ => self.rings.links.send(ToLinks::CloseLink { peer }),
                }
            }
        }
    }

    /// Stops this instance, since a peer has recorded a later start of its folder: the folder lacks what was
    /// acknowledged since then.
    fn reject_own_folder(&mut self, peer: PeerIndex, known_generation: u64) {
        let generation = self.identity.start.generation;
        let name = &self.instance.fleet.instances[peer].name;
        self.fatal_error = Some(format!(
            "{}: is an older copy: {name} knows start {known_generation} of it, this is start {generation}; it \
             lacks what was acknowledged since: start on an empty folder",
            self.instance.folder.display()
        ));
    }

    /// Runs the action once all data submitted to the disk is stored.
    fn after_stores(&mut self, action: AfterStore) {
        if let Some(action) = self.stores.wait_for_all(action) {
            self.run_action(action);
        }
    }

    pub(super) fn on_stored(&mut self, token: u64) {
        for action in self.stores.stored(token) {
            self.run_action(action);
        }
    }

    fn run_action(&mut self, action: AfterStore) {
        match action {
            AfterStore::WelcomePeer {
                connection,
                peer,
                incarnation,
            } => {
                self.connections
                    .insert(connection, AcceptedConnection { peer, incarnation });
                let reply = HelloReply::Welcome(self.hello_to(peer));
                self.rings.links.send(ToLinks::Reply { connection, reply });
            }
            AfterStore::ConnectPeer {
                peer,
                incarnation,
                control,
            } => {
                self.connect_peer(peer, incarnation, control);
            }
            AfterStore::FoundGroup { number } => self.on_number_stored(number),
        }
    }

    fn connect_peer(
        &mut self,
        peer: PeerIndex,
        incarnation: Incarnation,
        control: Option<GroupId>,
    ) {
        let now = self.now();
        let state = &mut self.peers[peer];
        state.connected = Some(incarnation);
        state.received_at = now;
        state.capacity.reset();
        // Set before the peer counts as reachable: the founder of a control group must know of an existing one.
        state.control = control;
        if state.announced == Some(incarnation) {
            return;
        }
        let earlier = state.announced.replace(incarnation);
        if let Some(earlier) = earlier {
            self.announce_peer(peer, earlier, false);
        }
        self.announce_peer(peer, incarnation, true);
    }

    pub(super) fn on_link_lost(&mut self, peer: PeerIndex) {
        let now = self.now();
        let state = &mut self.peers[peer];
        let Some(incarnation) = state.connected.take() else {
            return;
        };
        state.disconnected_at = now;
        if let Some(announced) = state.announced.take() {
            self.announce_peer(peer, announced, false);
        }
        let groups: Vec<GroupId> = self.groups.keys().copied().collect();
        for group in groups {
            self.with_replica(group, |replica, out| {
                replica.report_unreachable(incarnation, out)
            });
        }
    }

    fn announce_peer(&mut self, peer: PeerIndex, incarnation: Incarnation, reachable: bool) {
        let name = self.instance.name_of(peer);
        self.rings.events.send(GroupEvent::PeerChanged {
            name,
            incarnation,
            reachable,
        });
    }

    /// Returns the connected peer with this incarnation.
    pub(super) fn peer_of(&self, incarnation: Incarnation) -> Option<PeerIndex> {
        self.peers
            .iter()
            .position(|peer| peer.connected == Some(incarnation))
    }

    /// Whether the peer is connected and has sent something recently.
    pub(super) fn is_reachable(&self, peer: PeerIndex, now: f64) -> bool {
        let state = &self.peers[peer];
        state.connected.is_some() && now - state.received_at < self.idle_timeout()
    }

    /// Returns how long the incarnation has been unreachable, in milliseconds; infinite if another incarnation is
    /// connected under its name or the fleet file does not contain its name.
    pub(super) fn unreachable_for(&self, incarnation: Incarnation, now: f64) -> f64 {
        let Some(known) = self.known_starts.get(&incarnation) else {
            return f64::INFINITY;
        };
        let instances = &self.instance.fleet.instances;
        let Some(peer) = instances
            .iter()
            .position(|instance| *instance.name == *known.name.0)
        else {
            return f64::INFINITY;
        };
        let state = &self.peers[peer];
        match state.connected {
            Some(connected) if connected != incarnation => f64::INFINITY,
            Some(_) => (now - state.received_at - self.idle_timeout()).max(0.0),
            None => now - state.disconnected_at,
        }
    }

    /// The maximum silence of a reachable peer, in milliseconds.
    fn idle_timeout(&self) -> f64 {
        2.0 * self.instance.fleet.timing.election
    }
}
