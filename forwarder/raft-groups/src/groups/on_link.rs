//! Who is heard, and who is reachable. A start of another instance's folder is stored, synced, before any message of
//! it is handled, so that an older copy of the folder is recognised.

use super::peer_state::Call;
use super::pending_stores::AfterStore;
use super::thread::GroupsThread;
use crate::disk::known_starts::{KnownStart, MAX_KNOWN_STARTS};
use crate::disk::thread::ToDisk;
use crate::links::channels::{PeerIndex, ToLinks};
use crate::wire::message::{Hello, HelloReply, PROTOCOL_VERSION};
use crate::{GroupEvent, GroupId, Incarnation};

/// A start is older than one that is known of the same incarnation, or another one of the same generation.
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

    /// Checks a start against the known ones, and has it stored where it is new.
    fn check_start(&mut self, hello: &Hello) -> Result<(), StaleStart> {
        let known = self.known_starts.get(&hello.incarnation);
        if let Some(known) = known {
            let is_older = hello.start.generation < known.start.generation;
            let is_twin = hello.start.generation == known.start.generation
                && hello.start.nonce != known.start.nonce;
            if is_older || is_twin || known.name != hello.name {
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
            self.forget_one_if_full();
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

    /// Forgets an incarnation that is in no group and not connected.
    fn forget_one_if_full(&mut self) {
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

    pub(super) fn on_called(&mut self, call: u64, peer: PeerIndex, hello: &Hello) {
        match self.check_start(hello) {
            Ok(()) => {
                let incarnation = hello.incarnation;
                self.after_stores(AfterStore::WelcomeCaller {
                    call,
                    peer,
                    incarnation,
                });
            }
            Err(StaleStart { known_generation }) => {
                let reply = HelloReply::StaleFolder { known_generation };
                self.rings.links.send(ToLinks::Reply { call, reply });
            }
        }
    }

    pub(super) fn on_replied(&mut self, peer: PeerIndex, reply: HelloReply) {
        match reply {
            HelloReply::StaleFolder { known_generation } => {
                self.refuse_own_folder(peer, known_generation);
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
                    // Where its folder is stale, its own calls are answered with why.
                    _ => self.rings.links.send(ToLinks::HangUp { peer }),
                }
            }
        }
    }

    /// A peer knows a later start of this instance's folder: what was promised since is not in it.
    fn refuse_own_folder(&mut self, peer: PeerIndex, known_generation: u64) {
        let generation = self.identity.start.generation;
        let name = &self.instance.fleet.instances[peer].name;
        self.fatal_error = Some(format!(
            "{}: is an older copy: {name} knows start {known_generation} of it, this is start {generation}; what \
             was promised since is not in it: start on an empty folder",
            self.instance.folder.display()
        ));
    }

    /// Acts once all that was handed to the disk is stored.
    fn after_stores(&mut self, action: AfterStore) {
        if let Some(action) = self.stores.wait_for_all(action) {
            self.act_after_store(action);
        }
    }

    pub(super) fn on_stored(&mut self, token: u64) {
        for action in self.stores.stored(token) {
            self.act_after_store(action);
        }
    }

    fn act_after_store(&mut self, action: AfterStore) {
        match action {
            AfterStore::WelcomeCaller {
                call,
                peer,
                incarnation,
            } => {
                self.calls.insert(call, Call { peer, incarnation });
                let reply = HelloReply::Welcome(self.hello_to(peer));
                self.rings.links.send(ToLinks::Reply { call, reply });
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
        // Before the peer counts as reachable: the founder of a control group has to know of one that exists.
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

    /// The peer whose incarnation this is, while it is connected.
    pub(super) fn peer_of(&self, incarnation: Incarnation) -> Option<PeerIndex> {
        self.peers
            .iter()
            .position(|peer| peer.connected == Some(incarnation))
    }

    /// Whether the peer is connected, and something came from it lately.
    pub(super) fn is_reachable(&self, peer: PeerIndex, now: f64) -> bool {
        let state = &self.peers[peer];
        state.connected.is_some() && now - state.received_at < self.silence_timeout()
    }

    /// For how long the incarnation has been unreachable, in milliseconds; infinite where its name has another
    /// incarnation now, or is not in the fleet file any more.
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
            Some(_) => (now - state.received_at - self.silence_timeout()).max(0.0),
            None => now - state.disconnected_at,
        }
    }

    /// How long a connected peer may send nothing, in milliseconds.
    fn silence_timeout(&self) -> f64 {
        2.0 * self.instance.fleet.timing.election
    }
}
