//! The operations on the control state, which the chain orders and stores.

use std::sync::Arc;

use plankhill_protocol::ids::{Incarnation, InstanceId, NodeId, StoreEpoch};
use plankhill_protocol::tables::{Edge, StoreMember, Target};
use serde::{Deserialize, Serialize};

use crate::drain_order::DrainOrder;
use crate::singleton::SingletonTask;

/// An operation on the control state. The order of the variants and of their fields is part of the
/// stored format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Operation {
    /// The operator replaces the configuration. The controller has validated the document.
    PutConfiguration {
        /// The current version that the request expects (`If-Match`); 0 for the first configuration.
        expected: u64,
        /// The configuration's own version.
        version: u64,
        /// The JSON document, byte for byte.
        #[serde(with = "plankhill_protocol::shared_bytes")]
        document: Arc<[u8]>,
    },
    /// A target registers or reports a change.
    RegisterTarget(Target),
    /// A target shuts down gracefully. Its id must not be registered again.
    DeregisterTarget(InstanceId),
    /// The agent of an edge node registers or reports a change.
    RegisterEdge(Edge),
    /// The agent of an edge node shuts down gracefully.
    DeregisterEdge {
        /// The node.
        node: NodeId,
        /// The incarnation of its agent. Another incarnation stays registered.
        incarnation: Incarnation,
    },
    /// A store registers.
    RegisterStore {
        /// The store.
        member: StoreMember,
        /// The number of simultaneous store failures that the tier tolerates (f).
        tolerated_faults: u32,
    },
    /// A store has copied all data assigned to it in the next set of an epoch.
    StoreSynced {
        /// The node.
        node: NodeId,
        /// The incarnation of its disk.
        incarnation: Incarnation,
        /// The epoch for whose next set the store is ready.
        epoch: StoreEpoch,
    },
    /// The operator retires a store: its data moves to other stores.
    RetireStore(NodeId),
    /// The operator drains edges, or returns them to service.
    OrderDrain(DrainOrder),
    /// A draining edge reports that no client is connected and nothing is in flight.
    EdgeDrained {
        /// The node.
        node: NodeId,
        /// The number of the order under which the edge drains.
        number: u64,
    },
    /// A singleton task, proposed by the head of the chain.
    SingletonTask {
        /// The view in which the proposer heads the chain: the fencing token.
        view: u64,
        /// The task.
        task: SingletonTask,
    },
}
