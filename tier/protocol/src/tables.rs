//! Tables that the control plane publishes to the data plane: targets, stores, edges,
//! configuration.
//!
//! Controllers derive the [`Tables`] and their revisions from the replicated state; all other
//! processes have immutable snapshots, each of which is replaced as one value. [`TablesUpdate`]
//! carries the changes between two revisions.

mod change;
mod order;

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::document::Document;
use crate::ids::{Incarnation, InstanceId, NodeId, Revision, ServiceName, StoreEpoch, ZoneName};

pub use change::{RevisionGap, TablesChange, TablesUpdate};
pub use order::{compare_edges, compare_targets};

/// Availability of a target for new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetState {
    /// Accepts new requests.
    Healthy,
    /// Finishes the requests in flight and accepts no new ones.
    Draining,
}

/// A model that a target serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServedModel {
    /// The name, as in the `Model` header.
    pub name: String,
    /// The version of the weights.
    pub version: u64,
}

/// A registered target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The id of this run of the target process.
    pub id: InstanceId,
    /// The service to which the target belongs.
    pub service: ServiceName,
    /// The address at which the process listens.
    pub address: SocketAddr,
    /// The zone of the machine.
    pub zone: ZoneName,
    /// Maximum number of requests that the target executes concurrently.
    pub capacity: u32,
    /// The availability for new requests.
    pub state: TargetState,
    /// The highest `sequence` that the target has sent with a change.
    pub sequence: u64,
    /// Warm-up time after the start in milliseconds, as the target reported at registration; 0 if
    /// the target reported none.
    pub warm_up_remaining_ms: u64,
    /// The served models that the target has reported.
    pub models: Vec<ServedModel>,
}

/// A store for turns and budgets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreMember {
    /// The machine.
    pub node: NodeId,
    /// The incarnation of the store's disk.
    pub incarnation: Incarnation,
    /// The address at which the process listens.
    pub address: SocketAddr,
    /// The zone of the machine.
    pub zone: ZoneName,
}

/// A view of the stores for turns and budgets. While `next` is set, writes and budgets need a
/// quorum in both sets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreView {
    /// The epoch, which increases with every change of the view.
    pub epoch: StoreEpoch,
    /// The stores that have all data.
    pub serving: Vec<StoreMember>,
    /// The set that takes over once each of its members has copied its share of the data.
    pub next: Option<Vec<StoreMember>>,
    /// Number of simultaneously lost stores that the tier tolerates (f of a quorum system with 2f +
    /// 1 members).
    pub tolerated_faults: u32,
}

/// An edge machine, which runs a proxy and its agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edge {
    /// The machine.
    pub node: NodeId,
    /// The incarnation of the agent; a restarted agent has another.
    pub incarnation: Incarnation,
    /// The address at which the agent listens for peers.
    pub address: SocketAddr,
    /// The zone of the machine.
    pub zone: ZoneName,
}

/// The operator's configuration, as submitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationText {
    /// The version of the configuration.
    pub version: u64,
    /// The JSON document, byte for byte.
    pub document: Document,
}

/// All data that the control plane provides to the data plane, at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tables {
    /// The committed revision that these tables represent.
    pub revision: Revision,
    /// The operator's configuration; `None` before the first configuration.
    pub configuration: Option<ConfigurationText>,
    /// All registered targets, sorted by service and id.
    pub targets: Vec<Target>,
    /// The view of the stores.
    pub stores: StoreView,
    /// All registered edges, sorted by name.
    pub edges: Vec<Edge>,
    /// The edges that the operator has taken out of service, sorted by name.
    pub drains: Vec<Drain>,
}

/// An edge that the operator has taken out of service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// The machine.
    pub node: NodeId,
    /// The number of the operator's order; a later order has a higher number.
    pub number: u64,
    /// Whether the edge has reported, since the order, that it is drained.
    pub empty: bool,
}
