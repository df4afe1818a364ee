//! Quorum sizes, and the replicas that have acknowledged a write.

use plankhill_protocol::ids::{Incarnation, ProgramId};
use plankhill_protocol::tables::{StoreMember, StoreView};

use crate::placement::{min_replicas, replicas, unique_addresses};

/// The number of replies that are required from a set of replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quorum {
    /// The number of replicas that have to sync a write so that it survives the loss of as many stores
    /// as the tier tolerates.
    pub write: usize,
    /// The number of stores of which at least one has everything that was written to `write` stores.
    /// Always more than half, so that stores left behind in an older view never suffice on their own.
    pub read: usize,
}

impl Quorum {
    /// The quorum of `members` stores of which `tolerated_faults` may be lost at once.
    pub fn new(members: usize, tolerated_faults: u32) -> Self {
        let write = min_replicas(tolerated_faults).min(members);
        let read = (members + 1 - write).max(members / 2 + 1);
        Quorum { write, read }
    }
}

/// Tracks which replicas of a program have written one request, in every set of a view.
///
/// While a view has a next set, a write counts only once a quorum of both sets has it, so that the next
/// set misses no write when it takes over.
#[derive(Clone, Debug)]
pub struct WriteQuorum {
    sets: Vec<ReplicaSet>,
}

#[derive(Clone, Debug)]
struct ReplicaSet {
    required: usize,
    replicas: Vec<Replica>,
}

#[derive(Clone, Debug)]
struct Replica {
    member: StoreMember,
    has_written: bool,
}

impl WriteQuorum {
    /// Creates the state for the replicas of a program in a view, none of which has written yet.
    pub fn new(view: &StoreView, program: &ProgramId) -> Self {
        let faults = view.tolerated_faults;
        let sets = std::iter::once(&view.serving).chain(view.next.as_ref());
        let sets = sets.map(|set| ReplicaSet::new(replicas(set, program, faults), faults));
        WriteQuorum {
            sets: sets.collect(),
        }
    }

    /// The replicas of all sets, each address once.
    pub fn members(&self) -> Vec<StoreMember> {
        let replicas = self.sets.iter().flat_map(|set| &set.replicas);
        unique_addresses(replicas.map(|replica| &replica.member))
    }

    /// Records that the store that was called as `member` has written as `incarnation`. The write
    /// counts only in sets that contain this incarnation: a store with another incarnation has lost its
    /// earlier writes.
    pub fn record_write(&mut self, member: &StoreMember, incarnation: Incarnation) {
        for replica in self.sets.iter_mut().flat_map(|set| &mut set.replicas) {
            let is_same_node = replica.member.node == member.node;
            replica.has_written |= is_same_node && replica.member.incarnation == incarnation;
        }
    }

    /// Whether enough replicas of each set have written.
    pub fn is_reached(&self) -> bool {
        self.sets.iter().all(ReplicaSet::is_reached)
    }
}

impl ReplicaSet {
    fn new(members: Vec<&StoreMember>, tolerated_faults: u32) -> Self {
        let quorum = Quorum::new(members.len(), tolerated_faults);
        let replicas = members.into_iter().map(|member| Replica {
            member: member.clone(),
            has_written: false,
        });
        ReplicaSet {
            required: quorum.write.max(quorum.read),
            replicas: replicas.collect(),
        }
    }

    /// Whether enough replicas have written; never true for a set without replicas, so that an empty
    /// view cannot acknowledge a write.
    fn is_reached(&self) -> bool {
        let written = self
            .replicas
            .iter()
            .filter(|replica| replica.has_written)
            .count();
        self.required > 0 && written >= self.required
    }
}
