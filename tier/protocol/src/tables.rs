//! What the control plane tells the data plane: targets, stores, edges, configuration. Snapshots are
//! immutable and replaced whole; [`TablesUpdate`] carries the changes between two revisions.

mod order;

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::document::Document;

use crate::ids::{Incarnation, InstanceId, NodeId, Revision, ServiceName, StoreEpoch, ZoneName};

pub use order::{compare_edges, compare_targets};
use order::{differences, replace_at, same_place};

/// Whether a target takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetState {
    /// Takes requests.
    Healthy,
    /// Finishes what it has and takes nothing new.
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
    /// The incarnation's id.
    pub id: InstanceId,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// Requests that it works on at once.
    pub capacity: u32,
    /// Whether it takes new requests.
    pub state: TargetState,
    /// The highest `sequence` that it has sent with a change.
    pub sequence: u64,
    /// Milliseconds that it stays slow after its start, as it told when it registered; 0 if it told none.
    pub warm_up_remaining_ms: u64,
    /// The models that it serves, if it told any.
    pub models: Vec<ServedModel>,
}

/// One store that keeps turns and budgets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreMember {
    /// The machine.
    pub node: NodeId,
    /// The life of its disk.
    pub incarnation: Incarnation,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
}

/// Which stores hold turns and budgets. While `next` is set, writes and budgets need a quorum in both sets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreView {
    /// Rises with every change.
    pub epoch: StoreEpoch,
    /// The stores that hold everything.
    pub serving: Vec<StoreMember>,
    /// The set that takes over once each of its members has copied what belongs to it.
    pub next: Option<Vec<StoreMember>>,
    /// Lost stores that the tier bears at once (f).
    pub tolerated_faults: u32,
}

/// One edge machine: a proxy and its agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edge {
    /// The machine.
    pub node: NodeId,
    /// This life of its agent.
    pub incarnation: Incarnation,
    /// Where the agent listens for peers.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
}

/// The operator's configuration as it was sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationText {
    /// Its version.
    pub version: u64,
    /// The JSON document, byte for byte.
    pub document: Document,
}

/// Everything that the data plane knows, at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tables {
    /// The committed position that this shows.
    pub revision: Revision,
    /// None before the operator's first.
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
    /// The number of the order.
    pub number: u64,
    /// Whether it was empty since.
    pub empty: bool,
}

/// One step from a revision to a later one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TablesChange {
    /// A target registered or changed.
    TargetSet(Target),
    /// A target is gone.
    TargetRemoved(InstanceId),
    /// The stores' view changed.
    Stores(StoreView),
    /// An edge appeared or changed.
    EdgeSet(Edge),
    /// An edge is gone.
    EdgeRemoved(NodeId),
    /// The configuration was replaced.
    Configuration(ConfigurationText),
    /// Other edges are out of service: all of them.
    Drains(Vec<Drain>),
}

/// What brings a receiver up to date.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TablesUpdate {
    /// Replaces everything.
    Snapshot(Tables),
    /// Applies to exactly revision `from`.
    Changes {
        /// The revision that the receiver must hold.
        from: Revision,
        /// The revision that it holds afterwards.
        to: Revision,
        /// In order.
        changes: Vec<TablesChange>,
    },
}

impl Tables {
    /// Applies one update. False if it does not continue this revision; the caller then asks for a snapshot.
    /// A snapshot older than what is held is ignored and counts as applied.
    pub fn apply(&mut self, update: TablesUpdate) -> bool {
        match update {
            TablesUpdate::Snapshot(tables) => {
                if tables.revision >= self.revision {
                    *self = tables;
                }
                true
            }
            TablesUpdate::Changes { from, to, changes } => {
                if to <= self.revision {
                    return true;
                }
                if from != self.revision {
                    return false;
                }
                changes.into_iter().for_each(|change| self.change(change));
                self.revision = to;
                true
            }
        }
    }

    /// The changes that lead from `older` to these tables.
    pub fn changes_since(&self, older: &Tables) -> Vec<TablesChange> {
        let mut changes = Vec::new();
        // Removals come first: a target that moved to another service is removed from its old place, then set.
        let gone = differences(&older.targets, &self.targets, compare_targets);
        changes.extend(
            gone.filter(|one| !same_place(&self.targets, one, compare_targets))
                .map(|target| TablesChange::TargetRemoved(target.id.clone())),
        );
        let set = differences(&self.targets, &older.targets, compare_targets);
        changes.extend(set.cloned().map(TablesChange::TargetSet));
        let gone = differences(&older.edges, &self.edges, compare_edges);
        changes.extend(
            gone.filter(|one| !same_place(&self.edges, one, compare_edges))
                .map(|edge| TablesChange::EdgeRemoved(edge.node.clone())),
        );
        let set = differences(&self.edges, &older.edges, compare_edges);
        changes.extend(set.cloned().map(TablesChange::EdgeSet));
        if self.stores != older.stores {
            changes.push(TablesChange::Stores(self.stores.clone()));
        }
        if let Some(text) = self
            .configuration
            .as_ref()
            .filter(|_| self.configuration != older.configuration)
        {
            changes.push(TablesChange::Configuration(text.clone()));
        }
        if self.drains != older.drains {
            changes.push(TablesChange::Drains(self.drains.clone()));
        }
        changes
    }

    fn change(&mut self, change: TablesChange) {
        match change {
            TablesChange::TargetSet(target) => {
                let place = self
                    .targets
                    .binary_search_by(|held| compare_targets(held, &target));
                replace_at(&mut self.targets, place, target);
            }
            TablesChange::TargetRemoved(id) => self.targets.retain(|target| target.id != id),
            TablesChange::Stores(view) => self.stores = view,
            TablesChange::EdgeSet(edge) => {
                let place = self
                    .edges
                    .binary_search_by(|held| held.node.cmp(&edge.node));
                replace_at(&mut self.edges, place, edge);
            }
            TablesChange::EdgeRemoved(node) => self.edges.retain(|edge| edge.node != node),
            TablesChange::Configuration(text) => self.configuration = Some(text),
            TablesChange::Drains(drains) => self.drains = drains,
        }
    }
}
