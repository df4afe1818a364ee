//! What the groups' thread is started with, and the ends of the rings that it holds.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;

use plankhill_forwarder_config::fleet::{FleetConfig, Instance};
use rtrb::Consumer;
use slog::Logger;

use crate::disk::identity::Identity;
use crate::disk::known_starts::KnownStarts;
use crate::disk::thread::{FromDisk, ToDisk};
use crate::handle::SharedStatus;
use crate::leases::Leases;
use crate::links::channels::{FromLinks, PeerIndex, ToLinks};
use crate::replica::{GroupTiming, Replica};
use crate::ring::RingSender;
use crate::wire::frame::encode_frame;
use crate::wire::message::PeerMessage;
use crate::{GroupEvent, GroupId, GroupRequest, InstanceName, StateMachineFactory};

/// What does not change while the thread runs.
pub struct InstanceContext {
    /// The fleet file.
    pub fleet: FleetConfig,
    /// This instance's position in the fleet file.
    pub me: PeerIndex,
    /// The instance's folder.
    pub folder: PathBuf,
    /// For the thread's lines.
    pub logger: Logger,
    /// Makes the state machines of new groups.
    pub state_machines: StateMachineFactory,
    /// The spans of all groups.
    pub timing: GroupTiming,
    /// Shared with the event loop.
    pub(crate) leases: Arc<Leases>,
}

impl InstanceContext {
    /// This instance's entry in the fleet file.
    pub(super) fn own_instance(&self) -> &Instance {
        &self.fleet.instances[self.me]
    }

    /// The name of an instance of the fleet file.
    pub(super) fn name_of(&self, peer: PeerIndex) -> InstanceName {
        InstanceName(self.fleet.instances[peer].name.as_str().into())
    }

    /// Whether the fleet file names the instance as a voter of the control group.
    pub(super) fn is_control_voter(&self, peer: PeerIndex) -> bool {
        self.fleet.voters.contains(&self.fleet.instances[peer].name)
    }
}

/// What was read from the instance's folder.
pub struct StoredState {
    /// Whose folder it is.
    pub identity: Identity,
    /// The groups that have a log here.
    pub replicas: BTreeMap<GroupId, Replica>,
    /// The groups that were here and are dissolved.
    pub dissolved: Vec<GroupId>,
    /// The newest starts of other instances.
    pub known_starts: KnownStarts,
}

/// The ends of the rings that the groups' thread holds.
pub struct Rings {
    /// From the event loop.
    pub requests: Consumer<GroupRequest>,
    /// To the event loop.
    pub events: RingSender<GroupEvent>,
    /// To the links' thread.
    pub links: RingSender<ToLinks>,
    /// From the links' thread.
    pub from_links: Consumer<FromLinks>,
    /// To the disk's thread.
    pub disk: RingSender<ToDisk>,
    /// From the disk's thread.
    pub from_disk: Consumer<FromDisk>,
    /// Shared with the event loop.
    pub(crate) status: SharedStatus,
}

impl Rings {
    /// Sends a message to another instance; it may be lost.
    pub(super) fn send_to_peer(&mut self, to: PeerIndex, message: &PeerMessage) {
        self.links.send_or_drop(ToLinks::Send {
            to,
            frame: encode_frame(message),
        });
    }

    /// Whether anything waits for a place in a ring: nothing more is taken in meanwhile.
    pub(super) fn is_clogged(&self) -> bool {
        self.events.is_clogged() || self.links.is_clogged() || self.disk.is_clogged()
    }

    pub(super) fn flush(&mut self) {
        self.events.flush();
        self.links.flush();
        self.disk.flush();
    }

    /// Whether a receiver has ended.
    pub(super) fn is_abandoned(&self) -> bool {
        self.events.is_abandoned() || self.links.is_abandoned() || self.disk.is_abandoned()
    }
}
