//! The inputs of the groups thread at its start, and its ends of the rings.

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

/// The data that is constant while the thread runs.
pub struct InstanceContext {
    /// The fleet file.
    pub fleet: FleetConfig,
    /// This instance's position in the fleet file.
    pub me: PeerIndex,
    /// The instance's folder.
    pub folder: PathBuf,
    /// The thread's logger.
    pub logger: Logger,
    /// Creates the state machines of new groups.
    pub state_machines: StateMachineFactory,
    /// The durations used by all groups.
    pub timing: GroupTiming,
    /// The leases, shared with the event loop.
    pub(crate) leases: Arc<Leases>,
}

impl InstanceContext {
    /// Returns this instance's entry in the fleet file.
    pub(super) fn own_instance(&self) -> &Instance {
        &self.fleet.instances[self.me]
    }

    /// Returns the name of an instance in the fleet file.
    pub(super) fn name_of(&self, peer: PeerIndex) -> InstanceName {
        InstanceName(self.fleet.instances[peer].name.as_str().into())
    }

    /// Whether the instance is a voter of the control group according to the fleet file.
    pub(super) fn is_control_voter(&self, peer: PeerIndex) -> bool {
        self.fleet.voters.contains(&self.fleet.instances[peer].name)
    }
}

/// The state read from the instance's folder.
pub struct StoredState {
    /// The identity of the folder.
    pub identity: Identity,
    /// The replicas of the groups that have a log here.
    pub replicas: BTreeMap<GroupId, Replica>,
    /// The groups that were removed here.
    pub dissolved: Vec<GroupId>,
    /// The latest known starts of other instances.
    pub known_starts: KnownStarts,
}

/// The groups thread's ends of the rings.
pub struct Rings {
    /// Requests from the event loop.
    pub requests: Consumer<GroupRequest>,
    /// Events to the event loop.
    pub events: RingSender<GroupEvent>,
    /// Requests to the links thread.
    pub links: RingSender<ToLinks>,
    /// Events from the links thread.
    pub from_links: Consumer<FromLinks>,
    /// Requests to the disk thread.
    pub disk: RingSender<ToDisk>,
    /// Acknowledgements from the disk thread.
    pub from_disk: Consumer<FromDisk>,
    /// The status, shared with the event loop.
    pub(crate) status: SharedStatus,
}

impl Rings {
    /// Sends a message to another instance; the message may be lost.
    pub(super) fn send_to_peer(&mut self, to: PeerIndex, message: &PeerMessage) {
        self.links.send_or_drop(ToLinks::Send {
            to,
            frame: encode_frame(message),
        });
    }

    /// Whether values are waiting for space in a ring. The thread accepts no further input in that case.
    pub(super) fn is_backlogged(&self) -> bool {
        self.events.is_backlogged() || self.links.is_backlogged() || self.disk.is_backlogged()
    }

    pub(super) fn flush(&mut self) {
        self.events.flush();
        self.links.flush();
        self.disk.flush();
    }

    /// Whether a receiving thread has ended.
    pub(super) fn is_abandoned(&self) -> bool {
        self.events.is_abandoned() || self.links.is_abandoned() || self.disk.is_abandoned()
    }
}
