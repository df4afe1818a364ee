//! Work that exactly one controller does at a time: the head of the chain.
//!
//! Each task carries the number of the view in which its proposer heads the chain. The number is a
//! fencing token: [`ControlState`](crate::ControlState) rejects tasks from views older than the
//! newest one seen.

use plankhill_protocol::ids::{Incarnation, InstanceId, NodeId};
use serde::{Deserialize, Serialize};

/// A task of the singleton role. The order of the variants is format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SingletonTask {
    /// Remove targets whose heartbeats have stopped.
    ExpireTargets(Vec<ExpiredTarget>),
    /// Remove an edge that no controller receives messages from.
    ExpireEdge {
        /// The machine.
        node: NodeId,
        /// The incarnation of its agent; a later one stays.
        incarnation: Incarnation,
    },
    /// Start serving with the stores that have registered, although fewer than 2f+1 have.
    BootstrapStores,
    /// Remove a store that no controller receives messages from, where enough others remain.
    RemoveLostStore {
        /// The machine.
        node: NodeId,
        /// The incarnation of its disk.
        incarnation: Incarnation,
    },
}

/// A target whose heartbeats have stopped.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpiredTarget {
    /// The target.
    pub id: InstanceId,
    /// Its newest committed sequence when its silence was found; a target that has reported a
    /// change since stays.
    pub sequence: u64,
}
