//! A machine of the model: a chain member with its disk and its clock.

use plankhill_chain::{
    BadSnapshot, ChainMember, DurableState, Effect, Heartbeat, Identity, Member, MemberConfig,
    Message, Millis, StateMachine, Ticket, Write,
};
use plankhill_protocol::ids::{Incarnation, NodeId, Revision};
use std::net::SocketAddr;

use crate::system::Defect;

/// Initial time of each machine's clock. The clock starts well above 0, so that no confirmation
/// appears to be older than the clock.
const STARTED_AT: Millis = 10_000;

/// State machine that lists the operations applied, each a number.
#[derive(Clone, Debug, Default)]
pub struct AppliedOperations(pub Vec<u8>);

impl StateMachine for AppliedOperations {
    fn apply(&mut self, _: Revision, operation: &[u8]) -> Vec<u8> {
        self.0.extend(operation);
        operation.to_vec()
    }

    fn snapshot(&self) -> Vec<u8> {
        self.0.clone()
    }

    fn restore(&mut self, _: Revision, snapshot: &[u8]) -> Result<(), BadSnapshot> {
        self.0 = snapshot.to_vec();
        Ok(())
    }
}

/// A chain member with its clock, its disk and its pending writes.
#[derive(Clone)]
pub struct Node {
    pub member: ChainMember<AppliedOperations>,
    pub now: Millis,
    /// The synced data, which survives a power loss.
    pub disk: DurableState,
    /// Batches that were submitted to the disk and are not synced yet.
    pub unsynced: Vec<(Ticket, Vec<Write>)>,
    /// The newest heartbeat that the member has sent.
    pub heartbeat: Option<Heartbeat>,
    /// Number of restarts so far; the random seed of the process is derived from it.
    restarts: u64,
}

pub fn node_id(index: usize) -> NodeId {
    NodeId::from(format!("core-{index}").as_str())
}

pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index as u8], 7_000))
}

pub fn identity(index: usize, incarnation: u64) -> Identity {
    Identity {
        node: node_id(index),
        incarnation: Incarnation(incarnation),
    }
}

pub fn member(index: usize, incarnation: u64) -> Member {
    Member {
        identity: identity(index, incarnation),
        address: address(index),
    }
}

impl Node {
    /// Starts a process on a disk with this content.
    pub fn start(
        index: usize,
        machines: usize,
        disk: DurableState,
        restarts: u64,
        defect: Option<Defect>,
    ) -> Self {
        let incarnation = disk.incarnation.expect("the disk has an incarnation");
        let tolerated_faults = match defect {
            Some(Defect::ChainTooShort) => 0,
            _ => 1,
        };
        let config = MemberConfig {
            member: member(index, incarnation.0),
            tolerated_faults,
            seeds: (0..machines).map(address).collect(),
            // The numbers of reads and heartbeats start at different values in each process.
            random_seed: 1 + 1_000_000 * (1 + restarts) + 1_000 * index as u64,
        };
        let machine = AppliedOperations::default();
        let mut member = ChainMember::new(config, disk.clone(), machine, STARTED_AT)
            .expect("the disk content is valid");
        if let Some(Defect::Planted(bug)) = defect {
            member.plant_bug(bug);
        }
        Self {
            member,
            now: STARTED_AT,
            disk,
            unsynced: Vec::new(),
            heartbeat: None,
            restarts,
        }
    }

    /// Restarts the process. Of the batches that were not synced, the first `kept` are on the disk.
    pub fn restart(&mut self, index: usize, machines: usize, kept: usize, defect: Option<Defect>) {
        let unsynced = std::mem::take(&mut self.unsynced);
        for (_, writes) in unsynced.into_iter().take(kept) {
            apply(&mut self.disk, &writes);
        }
        if defect == Some(Defect::PromiseUnsynced) {
            let instance = self.disk.view.number.next();
            self.disk.acceptor = plankhill_chain::Acceptor::new(instance);
        }
        let disk = self.disk.clone();
        *self = Self::start(index, machines, disk, self.restarts + 1, defect);
    }

    /// Restarts the process on an empty disk.
    pub fn lose_disk(&mut self, index: usize, machines: usize, defect: Option<Defect>) {
        let lost = std::mem::take(&mut self.disk);
        let incarnation = lost.incarnation.expect("the disk has an incarnation");
        if defect == Some(Defect::LostDiskVotes) {
            // The incarnation and the view are kept; everything else is lost.
            self.disk.incarnation = Some(incarnation);
            self.disk.view = lost.view;
        } else {
            self.disk.incarnation = Some(Incarnation(incarnation.0 + 1));
        }
        self.unsynced.clear();
        self.restart(index, machines, 0, defect);
    }

    /// Syncs all submitted batches; returns the resulting effects.
    pub fn sync(&mut self) -> Vec<Effect> {
        let unsynced = std::mem::take(&mut self.unsynced);
        let Some((last, _)) = unsynced.last() else {
            return Vec::new();
        };
        let last = *last;
        for (_, writes) in &unsynced {
            apply(&mut self.disk, writes);
        }
        self.member.on_persisted(last, self.now);
        self.member.take_effects()
    }

    /// Delivers a message to the member; returns the resulting effects.
    pub fn receive(&mut self, from: &Identity, message: Message) -> Vec<Effect> {
        self.member.receive(from, message, self.now);
        self.member.take_effects()
    }

    /// Runs the member's tick at the current time; returns the resulting effects.
    pub fn tick(&mut self) -> Vec<Effect> {
        self.member.tick(self.now);
        self.member.take_effects()
    }

    /// Returns whether an operation would survive a power loss.
    pub fn has_on_disk(&self, revision: Revision) -> bool {
        let last = self.disk.entries.keys().next_back().copied();
        last.unwrap_or_default().max(self.disk.snapshot.revision) >= revision
    }
}

fn apply(disk: &mut DurableState, writes: &[Write]) {
    for write in writes {
        disk.apply(write);
    }
}
