//! What the control plane publishes to the data plane: targets, stores, edges, configuration.
//!
//! Controllers derive the [`Tables`] from the replicated state and own their revisions; all others
//! have immutable snapshots, each of which is replaced as one value. [`TablesUpdate`] carries the
//! changes between two revisions.

mod change;
mod order;

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::document::Document;
use crate::ids::{Incarnation, InstanceId, NodeId, Revision, ServiceName, StoreEpoch, ZoneName};

pub use change::{RevisionGap, TablesChange, TablesUpdate};
pub use order::{compare_edges, compare_targets};

/// Whether a target takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetState {
    /// Takes requests.
    Healthy,
    /// Finishes the requests in flight and takes no new ones.
    Draining,
}

/// A model that a target serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServedModel {
    /// Name as in the `Model` header.
    pub name: String,
    /// Version of the weights.
    pub version: u64,
}

/// One registered target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The id of this start of the target.
    pub id: InstanceId,
    /// The service to which the target belongs.
    pub service: ServiceName,
    /// The address at which the process listens.
    pub address: SocketAddr,
    /// The zone of the machine.
    pub zone: ZoneName,
    /// Requests that the target executes at once.
    pub capacity: u32,
    /// Whether the target takes new requests.
    pub state: TargetState,
    /// The highest `sequence` that the target has sent with a change.
    pub sequence: u64,
    /// Milliseconds for which the target warms up after its start, as it reported when it
    /// registered; 0 if it reported none.
    pub warm_up_remaining_ms: u64,
    /// The models that the target serves, as far as it reported them.
    pub models: Vec<ServedModel>,
}

/// One store that keeps turns and budgets.
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

/// The view of the stores that keep turns and budgets. While `next` is set, writes and budgets need
/// a quorum in both sets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreView {
    /// Rises with every change.
    pub epoch: StoreEpoch,
    /// The stores that have all data.
    pub serving: Vec<StoreMember>,
    /// The set that takes over once each of its members has copied its share of the data.
    pub next: Option<Vec<StoreMember>>,
    /// Lost stores that the tier tolerates at once (f of a quorum system with 2f + 1 members).
    pub tolerated_faults: u32,
}

/// One edge machine: a proxy and its agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edge {
    /// The machine.
    pub node: NodeId,
    /// This start of the agent.
    pub incarnation: Incarnation,
    /// Where the agent listens for peers.
    pub address: SocketAddr,
    /// The zone of the machine.
    pub zone: ZoneName,
}

/// The operator's configuration as it was sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationText {
    /// The version of the configuration.
    pub version: u64,
    /// The JSON document, byte for byte.
    pub document: Document,
}

/// Everything that the data plane knows, at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tables {
    /// The committed revision that these tables show.
    pub revision: Revision,
    /// The operator's configuration; `None` before the first one.
    pub configuration: Option<ConfigurationText>,
    /// All registered targets, by service and id.
    pub targets: Vec<Target>,
    /// The stores.
    pub stores: StoreView,
    /// The live edges, in the order of their names.
    pub edges: Vec<Edge>,
    /// The edges that the operator has taken out of service, in the order of their names.
    pub drains: Vec<Drain>,
}

/// An edge that the operator has taken out of service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// The machine.
    pub node: NodeId,
    /// The number of the operator's order; a later order has a higher one.
    pub number: u64,
    /// Whether the edge has reported since that it is drained.
    pub empty: bool,
}
