//! Tasks that a single controller performs at a time: the head of the chain.
//!
//! Each task contains the number of the view in which its proposer is the head of the chain. The
//! number is a fencing token: [`ControlState`](crate::ControlState) rejects tasks from views older
//! than the newest view of all tasks so far.

use plankhill_protocol::ids::{Incarnation, InstanceId, NodeId};
use serde::{Deserialize, Serialize};

/// A singleton task. The order of the variants is part of the stored format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SingletonTask {
    /// Remove targets whose heartbeats have stopped.
    ExpireTargets(Vec<ExpiredTarget>),
    /// Remove an edge from which no controller receives messages.
    ExpireEdge {
        /// The node.
        node: NodeId,
        /// The incarnation of its agent. Another incarnation stays registered.
        incarnation: Incarnation,
    },
    /// Create the first view from the registered stores although there are fewer than 2f+1.
    BootstrapStores,
    /// Remove a store from which no controller receives messages, if enough others remain.
    RemoveLostStore {
        /// The node.
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
    /// Its newest committed sequence when the missing heartbeats were detected. A target that has
    /// reported a change since then stays registered.
    pub sequence: u64,
}
