//! The changes of the control state, as the chain orders and stores them.

use std::sync::Arc;

use plankhill_protocol::ids::{Incarnation, InstanceId, NodeId, StoreEpoch};
use plankhill_protocol::tables::{Edge, StoreMember, Target};
use serde::{Deserialize, Serialize};

use crate::drain_order::DrainOrder;
use crate::singleton::SingletonTask;

/// One change of the control state. The order of the variants and of their fields is format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Operation {
    /// The operator replaces the configuration. The controller has validated the document.
    PutConfiguration {
        /// The version that the configuration builds on (`If-Match`); 0 for the first.
        expected: u64,
        /// The configuration's own version.
        version: u64,
        /// The JSON document, byte for byte.
        #[serde(with = "plankhill_protocol::shared_bytes")]
        document: Arc<[u8]>,
    },
    /// A target registers or reports a change.
    RegisterTarget(Target),
    /// A target shuts down gracefully; its id is never registered again.
    DeregisterTarget(InstanceId),
    /// The agent of an edge machine registers or changes.
    RegisterEdge(Edge),
    /// An agent shuts down gracefully.
    DeregisterEdge {
        /// The machine.
        node: NodeId,
        /// The incarnation of its agent; a later one stays.
        incarnation: Incarnation,
    },
    /// A store registers.
    RegisterStore {
        /// The store.
        member: StoreMember,
        /// Simultaneous losses of stores that the tier tolerates (f).
        tolerated_faults: u32,
    },
    /// A store has copied everything that belongs to it in the next set of an epoch.
    StoreSynced {
        /// The machine.
        node: NodeId,
        /// The incarnation of its disk.
        incarnation: Incarnation,
        /// The epoch whose next set the store is ready for.
        epoch: StoreEpoch,
    },
    /// The operator retires a store: its data moves to the others.
    RetireStore(NodeId),
    /// The operator drains edges, or returns them to service.
    OrderDrain(DrainOrder),
    /// A draining edge reports that no client is connected and nothing is in flight.
    EdgeDrained {
        /// The machine.
        node: NodeId,
        /// The number of the order that drains the edge.
        number: u64,
    },
    /// A task of the singleton role, proposed by the head of the chain.
    SingletonTask {
        /// The view in which the proposer heads the chain: the fencing token.
        view: u64,
        /// The task.
        task: SingletonTask,
    },
}
