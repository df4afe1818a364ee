//! What the groups' thread knows.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Arc, Mutex};

use plankhill_forwarder_config::fleet::FleetConfig;
use rtrb::Consumer;
use slog::Logger;

use super::founding::Founding;
use super::peers::{Call, Noting, PeerState};
use super::states::{Incoming, Outgoing};
use crate::core::{Core, Kept, Pace};
use crate::disk::folder::{Identity, Met};
use crate::disk::thread::{FromDisk, ToDisk};
use crate::handle::Leases;
use crate::links::shared::{FromLinks, Peer, ToLinks};
use crate::ring::Sender;
use crate::start::StateMachineFactory;
use crate::{GroupEvent, GroupId, GroupRequest, Incarnation, Purpose};

/// The ends of the rings that the groups' thread holds.
pub struct Rings {
    pub orders: Consumer<GroupRequest>,
    pub news: Sender<GroupEvent>,
    pub links: Sender<ToLinks>,
    pub from_links: Consumer<FromLinks>,
    pub disk: Sender<ToDisk>,
    pub from_disk: Consumer<FromDisk>,
    pub stop: Arc<AtomicBool>,
    /// Why this instance may not go on.
    pub refused: Arc<Mutex<Option<String>>>,
    /// Bytes of commands, counted from the start, up to which keepers have room.
    pub room: Arc<AtomicU64>,
}

pub struct Groups {
    pub fleet: FleetConfig,
    pub me: Peer,
    pub identity: Identity,
    pub log: Logger,
    pub folder: PathBuf,
    pub machines: StateMachineFactory,
    pub pace: Pace,
    pub leases: Arc<Leases>,
    pub rings: Rings,
    pub cores: BTreeMap<GroupId, Core>,
    pub gone: BTreeSet<GroupId>,
    pub met: Met,
    pub(super) held: HashMap<GroupId, Arc<AtomicU64>>,
    pub(super) disk_bytes: HashMap<GroupId, u64>,
    /// Groups that this instance was let out of: silent until their leader speaks to it again.
    pub(super) parked: BTreeSet<GroupId>,
    /// Groups whose file is being made.
    pub(super) making: BTreeMap<GroupId, (Purpose, Kept)>,
    pub(super) foundings: Vec<Founding>,
    /// Groups founded by this life that it has led.
    pub(super) led: BTreeSet<GroupId>,
    /// Numbers noted on the disk before they are used.
    pub(super) noted_group: u32,
    pub(super) peers: Vec<PeerState>,
    pub(super) calls: HashMap<u64, Call>,
    pub(super) notes: Vec<(u64, Noting)>,
    pub(super) token: u64,
    pub(super) notes_done: u64,
    pub(super) control: Option<GroupId>,
    pub(super) beaten: f64,
    pub(super) refused: Option<String>,
    /// Messages that had nowhere to go.
    pub(super) unsent: Vec<(GroupId, Incarnation)>,
    pub(super) incoming: BTreeMap<GroupId, Incoming>,
    pub(super) outgoing: BTreeMap<(GroupId, Peer), Outgoing>,
    /// What was last logged of the groups led here.
    pub(super) voters_told: HashMap<GroupId, Vec<Incarnation>>,
    /// Bytes of commands that the loop has handed over.
    pub(super) proposed: u64,
    /// Dissolved here, kept until the others know, and since when.
    pub(super) dissolving: BTreeMap<GroupId, f64>,
}

/// What a thread is begun with.
pub struct Begun {
    pub fleet: FleetConfig,
    pub me: Peer,
    pub identity: Identity,
    pub log: Logger,
    pub folder: PathBuf,
    pub machines: StateMachineFactory,
    pub pace: Pace,
    pub leases: Arc<Leases>,
    pub cores: BTreeMap<GroupId, Core>,
    pub gone: BTreeSet<GroupId>,
    pub met: Met,
}

impl Groups {
    pub fn new(begun: Begun, rings: Rings) -> Self {
        let Begun {
            fleet,
            me,
            identity,
            log,
            folder,
            machines,
            pace,
            leases,
            cores,
            gone,
            met,
        } = begun;
        let peers = fleet
            .instances
            .iter()
            .map(|_| PeerState::default())
            .collect();
        let noted_group = identity.next_group;
        let held = cores
            .keys()
            .map(|group| (*group, leases.of(*group)))
            .collect();
        let control = cores
            .iter()
            .find(|(_, c)| c.purpose == Purpose::Control)
            .map(|(group, _)| *group);
        Groups {
            fleet,
            me,
            identity,
            log,
            folder,
            machines,
            pace,
            leases,
            rings,
            cores,
            gone,
            met,
            held,
            disk_bytes: HashMap::new(),
            parked: BTreeSet::new(),
            making: BTreeMap::new(),
            foundings: Vec::new(),
            led: BTreeSet::new(),
            noted_group,
            peers,
            calls: HashMap::new(),
            notes: Vec::new(),
            token: 0,
            notes_done: 0,
            control,
            beaten: 0.0,
            refused: None,
            unsent: Vec::new(),
            incoming: BTreeMap::new(),
            outgoing: BTreeMap::new(),
            voters_told: HashMap::new(),
            proposed: 0,
            dissolving: BTreeMap::new(),
        }
    }

    pub(super) fn now(&self) -> f64 {
        self.leases.now()
    }

    pub(super) fn incarnation(&self) -> Incarnation {
        self.identity.incarnation
    }
}
