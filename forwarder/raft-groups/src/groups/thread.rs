//! The main loop of the groups thread. It never blocks on the disk, the links or the event loop.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::atomic::Ordering;
use std::time::Duration;

use slog::error;

use super::context::{InstanceContext, Rings, StoredState};
use super::hosted_group::{CreatingGroup, HostedGroup};
use super::peer_state::{AcceptedConnection, PeerState};
use super::pending_founding::PendingFounding;
use super::pending_stores::PendingStores;
use super::snapshot_transfer::OutgoingSnapshot;
use crate::disk::identity::Identity;
use crate::disk::known_starts::KnownStarts;
use crate::disk::thread::{FromDisk, ToDisk};
use crate::links::channels::{PeerIndex, ToLinks};
use crate::replica::effects::Effects;
use crate::replica::Replica;
use crate::wire::frame::encode_frame;
use crate::wire::message::PeerMessage;
use crate::wire::raft_message::RaftMessage;
use crate::{GroupEvent, GroupId, Incarnation, Purpose};

/// The maximum number of values received from one ring before the other rings are served.
const MAX_TAKEN_AT_ONCE: usize = 256;
/// The maximum sleep while a ring has a backlog, in milliseconds.
const BACKLOGGED_INTERVAL_MS: f64 = 2.0;

/// The groups thread. Times are in milliseconds since the process's start.
pub struct GroupsThread {
    pub(super) instance: InstanceContext,
    pub(super) identity: Identity,
    pub(super) rings: Rings,
    pub(super) groups: BTreeMap<GroupId, HostedGroup>,
    /// Groups whose file is being created.
    pub(super) creating: BTreeMap<GroupId, CreatingGroup>,
    /// Groups that were removed here.
    pub(super) dissolved: BTreeSet<GroupId>,
    pub(super) control: Option<GroupId>,
    pub(super) foundings: Vec<PendingFounding>,
    /// Groups founded by this incarnation that it leads or has led.
    pub(super) led_here: BTreeSet<GroupId>,
    /// The other instances, by position in the fleet file.
    pub(super) peers: Vec<PeerState>,
    pub(super) known_starts: KnownStarts,
    /// Accepted incoming connections, by number.
    pub(super) connections: HashMap<u64, AcceptedConnection>,
    pub(super) stores: PendingStores,
    pub(super) outgoing_snapshots: BTreeMap<(GroupId, PeerIndex), OutgoingSnapshot>,
    pub(super) undelivered: Vec<Undelivered>,
    /// The total number of command bytes proposed by the event loop.
    pub(super) command_bytes: u64,
    last_heartbeat_at: f64,
    /// The reason why this instance must stop.
    pub(super) fatal_error: Option<String>,
}

/// A raft message whose receiver was not connected.
pub(super) struct Undelivered {
    pub(super) group: GroupId,
    pub(super) to: Incarnation,
}

impl GroupsThread {
    /// Creates the thread's state from the stored state.
    pub fn new(instance: InstanceContext, stored: StoredState, rings: Rings) -> Self {
        let StoredState {
            identity,
            replicas,
            dissolved,
            known_starts,
        } = stored;
        let mut groups = BTreeMap::new();
        let mut control = None;
        for (group, replica) in replicas {
            if replica.purpose() == Purpose::Control && control.is_none() {
                control = Some(group);
            }
            groups.insert(
                group,
                HostedGroup::new(replica, instance.leases.lease_of(group)),
            );
        }
        GroupsThread {
            peers: instance
                .fleet
                .instances
                .iter()
                .map(|_| PeerState::default())
                .collect(),
            instance,
            identity,
            rings,
            groups,
            creating: BTreeMap::new(),
            dissolved: dissolved.into_iter().collect(),
            control,
            foundings: Vec::new(),
            led_here: BTreeSet::new(),
            known_starts,
            connections: HashMap::new(),
            stores: PendingStores::default(),
            outgoing_snapshots: BTreeMap::new(),
            undelivered: Vec::new(),
            command_bytes: 0,
            last_heartbeat_at: 0.0,
            fatal_error: None,
        }
    }

    /// Runs until the thread is stopped, another thread has ended, or the instance must stop.
    pub fn run(mut self) {
        self.begin();
        let mut ticked_at = self.now();
        let mut reviewed_at = ticked_at;
        let tick = self.instance.timing.tick;
        let review_interval = 2.0 * self.instance.fleet.timing.heartbeat;
        while !self.rings.status.stop.load(Ordering::Acquire) && self.fatal_error.is_none() {
            let is_busy = self.receive();
            let now = self.now();
            // After a pause, ticks continue from now, so that two ticks are always at least a tick interval apart.
            if now >= ticked_at + tick {
                ticked_at = now;
                self.tick(now);
            }
            if now >= reviewed_at + review_interval {
                reviewed_at = now;
                self.review(now);
            }
            self.rings.flush();
            if self.rings.is_abandoned() {
                break;
            }
            if !is_busy {
                self.sleep_until(ticked_at + tick);
            }
        }
        self.end();
    }

    /// Receives input. Input from the links and the event loop is not accepted while a ring has a backlog of this
    /// thread's output.
    fn receive(&mut self) -> bool {
        let mut is_busy = self.receive_from_disk();
        if !self.rings.is_backlogged() {
            is_busy |= self.receive_from_links();
            is_busy |= self.receive_requests();
        }
        is_busy
    }

    fn sleep_until(&self, next_tick: f64) {
        let mut pause = (next_tick - self.now()).clamp(0.1, 1000.0);
        if self.rings.is_backlogged() {
            pause = pause.min(BACKLOGGED_INTERVAL_MS);
        }
        std::thread::park_timeout(Duration::from_secs_f64(pause / 1e3));
    }

    fn end(mut self) {
        if let Some(reason) = &self.fatal_error {
            error!(self.instance.logger, "instance may not go on"; "error" => reason.as_str());
            let mut fatal_error = self
                .rings
                .status
                .fatal_error
                .lock()
                .unwrap_or_else(|poisoned| poisoned.into_inner());
            *fatal_error = Some(reason.clone());
        }
        for group in self.groups.keys() {
            self.instance.leases.remove(*group);
        }
        self.rings.status.stop.store(true, Ordering::Release);
        self.rings.flush();
        self.rings.disk.wake();
        self.rings.links.wake();
    }

    fn receive_from_disk(&mut self) -> bool {
        let mut is_busy = false;
        while let Ok(event) = self.rings.from_disk.pop() {
            is_busy = true;
            match event {
                FromDisk::Persisted {
                    group,
                    number,
                    file_length,
                } => {
                    if let Some(hosted) = self.groups.get_mut(&group) {
                        hosted.file_length = file_length;
                    }
                    self.with_replica(group, |replica, out| replica.persisted(number, out));
                }
                FromDisk::GroupCreated { group } => self.on_group_created(group),
                FromDisk::Stored { token } => self.on_stored(token),
            }
        }
        is_busy
    }

    fn receive_from_links(&mut self) -> bool {
        for taken in 0..MAX_TAKEN_AT_ONCE {
            let Ok(event) = self.rings.from_links.pop() else {
                return taken > 0;
            };
            self.on_link_event(event);
        }
        true
    }

    fn receive_requests(&mut self) -> bool {
        for taken in 0..MAX_TAKEN_AT_ONCE {
            let Ok(request) = self.rings.requests.pop() else {
                return taken > 0;
            };
            self.on_request(request);
        }
        true
    }

    fn tick(&mut self, now: f64) {
        let ticking = self
            .groups
            .iter()
            .filter(|(_, hosted)| !hosted.is_suspended);
        let ticking: Vec<GroupId> = ticking.map(|(group, _)| *group).collect();
        for group in ticking {
            self.with_replica(group, |replica, out| replica.tick(now, out));
        }
        self.drop_stalled_snapshots(now);
        if now >= self.last_heartbeat_at + self.instance.fleet.timing.heartbeat {
            self.last_heartbeat_at = now;
            self.compact_if_short();
            self.publish_command_bytes_limit(now);
            self.send_heartbeats();
        }
    }

    fn send_heartbeats(&mut self) {
        let free_bytes = self.free_bytes_for_owners();
        let frame = encode_frame(&PeerMessage::Heartbeat {
            free_bytes,
            control: self.control,
        });
        for (to, peer) in self.peers.iter().enumerate() {
            if peer.connected.is_some() {
                self.rings.links.send_or_drop(ToLinks::Send {
                    to,
                    frame: frame.clone(),
                });
            }
        }
    }

    /// Runs an operation on a group's replica and dispatches its effects: disk writes precede messages to other
    /// instances.
    pub(super) fn with_replica(
        &mut self,
        group: GroupId,
        act: impl FnOnce(&mut Replica, &mut Effects),
    ) {
        let Some(hosted) = self.groups.get_mut(&group) else {
            return;
        };
        let mut out = Effects::default();
        act(&mut hosted.replica, &mut out);
        hosted.lease.set_until(hosted.replica.lease_until());
        if let Some(fault) = hosted.replica.fault() {
            self.fatal_error.get_or_insert_with(|| {
                format!(
                    "group {group} can't go on here: {fault}: the folder lacks what was acknowledged from it"
                )
            });
        }
        let is_dissolved = hosted.replica.is_dissolved();
        for request in out.persist {
            self.rings.disk.send(ToDisk::Persist { group, request });
        }
        for message in &out.messages {
            self.send_raft_message(group, message);
        }
        for event in out.events {
            if let GroupEvent::Elected { group, .. } = &event {
                self.record_led_here(*group);
            }
            self.rings.events.send(event);
        }
        if is_dissolved {
            self.on_dissolved(group);
        }
    }

    fn send_raft_message(&mut self, group: GroupId, message: &raft::eraftpb::Message) {
        let to = Incarnation(message.to);
        let Some(peer) = self.peer_of(to) else {
            // Raft assumes that the message was sent and waits for the reply unless the failure is reported.
            self.undelivered.push(Undelivered { group, to });
            return;
        };
        let Some(message) = RaftMessage::from_raft(message) else {
            return;
        };
        if message.snapshot.is_some() {
            self.send_snapshot(group, peer, message);
        } else {
            self.rings
                .send_to_peer(peer, &PeerMessage::Raft { group, message });
        }
    }

    /// Returns the time in milliseconds since the process's start.
    pub(super) fn now(&self) -> f64 {
        self.instance.leases.now()
    }

    /// Returns this instance's incarnation.
    pub(super) fn incarnation(&self) -> Incarnation {
        self.identity.incarnation
    }
}
