//! What changes the control state, and what it came to.

use std::sync::Arc;

use plankhill_protocol::ids::{Incarnation, InstanceId, NodeId, StoreEpoch};
use plankhill_protocol::tables::{Edge, StoreMember, Target};
use serde::{Deserialize, Serialize};

use crate::drains::DrainOrder;

/// One change of the control state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Operation {
    /// The operator replaces the configuration. The document has been checked before.
    PutConfiguration {
        /// The version that it builds on (`If-Match`); 0 for the first.
        expected: u64,
        /// Its own version.
        version: u64,
        /// The JSON document, byte for byte.
        #[serde(with = "plankhill_protocol::shared_bytes")]
        document: Arc<[u8]>,
    },
    /// A target registers or reports a change.
    SetTarget(Target),
    /// A target ends in an orderly way; its id is never taken in again.
    RemoveTarget(InstanceId),
    /// The agent of an edge machine appears or changes.
    SetEdge(Edge),
    /// An agent ends in an orderly way.
    RemoveEdge {
        /// The machine.
        node: NodeId,
        /// The life of its agent; a later one stays.
        incarnation: Incarnation,
    },
    /// A store appears.
    RegisterStore {
        /// The store.
        member: StoreMember,
        /// Lost stores that the tier bears at once (f).
        faults: u32,
    },
    /// A store has copied all that belongs to it in the next set of an epoch.
    StoreSynced {
        /// The machine.
        node: NodeId,
        /// The life of its disk.
        incarnation: Incarnation,
        /// The epoch whose next set it is ready for.
        epoch: StoreEpoch,
    },
    /// The operator wants a store emptied.
    RetireStore(NodeId),
    /// The operator takes edges out of service, or back.
    OrderDrain(DrainOrder),
    /// An edge that is out of service says that it is empty.
    EdgeEmptied {
        /// The machine.
        node: NodeId,
        /// The number of the order that took it out.
        number: u64,
    },
    /// Housekeeping by the head of the chain, fenced by the number of its view.
    Duty {
        /// The view in which the sender is the head.
        view: u64,
        /// What is to be done.
        duty: Duty,
    },
}

/// Housekeeping that one controller at a time does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Duty {
    /// Forget targets whose heartbeats have ended.
    ExpireTargets(Vec<ExpiredTarget>),
    /// Forget an edge that no controller hears any more.
    ForgetEdge {
        /// The machine.
        node: NodeId,
        /// The life of its agent that fell silent.
        incarnation: Incarnation,
    },
    /// Start serving with the stores that have registered, though fewer than 2f+1 have come.
    FoundStores,
    /// Do without a store that no controller hears any more, where enough others are left.
    DropStore {
        /// The machine.
        node: NodeId,
        /// The life of its disk.
        incarnation: Incarnation,
    },
}

/// A target whose heartbeats have ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpiredTarget {
    /// The target.
    pub id: InstanceId,
    /// Its newest committed sequence when that was found; a target that changed since stays.
    pub sequence: u64,
}

/// What an operation came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The state changed as asked.
    Applied,
    /// Exactly this was taken before; the state did not change.
    Repeated,
    /// Nothing to change: older than what is known, known already, or meant for an earlier epoch.
    Ignored,
    /// Another configuration, or another order, came before.
    Conflict {
        /// The current version, or the number of the last order.
        current: u64,
    },
    /// The configuration builds on the current one, but its version is not above it.
    NotAbove {
        /// The current version.
        current: u64,
    },
    /// No store of that name.
    UnknownStore,
    /// Too few stores would be left.
    TooFewStores,
    /// No edge of that name.
    UnknownEdge,
    /// Too few edges would stay in service.
    TooFewEdges,
    /// A table is full.
    Full,
    /// The duty comes from the head of an older view.
    Fenced,
    /// The configuration is so old that nobody remembers whether it was taken.
    Forgotten,
}

impl Outcome {
    /// Whether the state changed.
    pub fn changed(self) -> bool {
        self == Outcome::Applied
    }
}
