//! Changes between two revisions of the tables: computed by the feeder, applied by the subscriber.

use serde::{Deserialize, Serialize};

use super::order::{compare_edges, compare_targets, contains, differences, upsert};
use super::{ConfigurationText, Drain, Edge, StoreView, Tables, Target};
use crate::ids::{InstanceId, NodeId, Revision};

/// A change to the tables.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TablesChange {
    /// A target registered or changed.
    TargetSet(Target),
    /// A target was removed.
    TargetRemoved(InstanceId),
    /// The view of the stores changed.
    Stores(StoreView),
    /// An edge registered or changed.
    EdgeSet(Edge),
    /// An edge was removed.
    EdgeRemoved(NodeId),
    /// The configuration was replaced.
    Configuration(ConfigurationText),
    /// The drains changed; contains the complete new list.
    Drains(Vec<Drain>),
}

/// An update that brings a receiver to a later revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TablesUpdate {
    /// Complete tables, which replace those of the receiver.
    Snapshot(Tables),
    /// Changes that apply to revision `from` only.
    Changes {
        /// The revision that the receiver must have.
        from: Revision,
        /// The revision that the receiver has afterwards.
        to: Revision,
        /// The changes, in the order in which they are applied.
        changes: Vec<TablesChange>,
    },
}

/// The base revision of an update differs from the revision of the receiver's tables; the receiver
/// needs a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("update applies to revision {}, but the tables are at revision {}", from.0, current.0)]
pub struct RevisionGap {
    /// The base revision of the update.
    pub from: Revision,
    /// The revision of the receiver's tables.
    pub current: Revision,
}

impl Tables {
    /// Applies an update. An update to the current revision or an earlier one changes nothing and
    /// counts as applied: the revision never decreases.
    ///
    /// # Errors
    /// [`RevisionGap`] if the update consists of changes to another revision; the tables are then
    /// unchanged.
    pub fn apply(&mut self, update: TablesUpdate) -> Result<(), RevisionGap> {
        match update {
            TablesUpdate::Snapshot(tables) => {
                if tables.revision >= self.revision {
                    *self = tables;
                }
                Ok(())
            }
            TablesUpdate::Changes { from, to, changes } => {
                if to <= self.revision {
                    return Ok(());
                }
                if from != self.revision {
                    let current = self.revision;
                    return Err(RevisionGap { from, current });
                }
                for change in changes {
                    self.apply_change(change);
                }
                self.revision = to;
                Ok(())
            }
        }
    }

    fn apply_change(&mut self, change: TablesChange) {
        match change {
            TablesChange::TargetSet(target) => upsert(&mut self.targets, target, compare_targets),
            TablesChange::TargetRemoved(id) => self.targets.retain(|target| target.id != id),
            TablesChange::Stores(view) => self.stores = view,
            TablesChange::EdgeSet(edge) => upsert(&mut self.edges, edge, compare_edges),
            TablesChange::EdgeRemoved(node) => self.edges.retain(|edge| edge.node != node),
            TablesChange::Configuration(text) => self.configuration = Some(text),
            TablesChange::Drains(drains) => self.drains = drains,
        }
    }

    /// Computes the changes that turn `older` into these tables.
    pub fn changes_since(&self, older: &Tables) -> Vec<TablesChange> {
        let mut changes = Vec::new();
        self.add_target_changes(older, &mut changes);
        self.add_edge_changes(older, &mut changes);
        if self.stores != older.stores {
            changes.push(TablesChange::Stores(self.stores.clone()));
        }
        if self.configuration != older.configuration {
            if let Some(text) = &self.configuration {
                changes.push(TablesChange::Configuration(text.clone()));
            }
        }
        if self.drains != older.drains {
            changes.push(TablesChange::Drains(self.drains.clone()));
        }
        changes
    }

    /// Removals come first: a target that moved to another service is removed from its old
    /// position, then set.
    fn add_target_changes(&self, older: &Tables, changes: &mut Vec<TablesChange>) {
        for target in differences(&older.targets, &self.targets, compare_targets) {
            if !contains(&self.targets, target, compare_targets) {
                changes.push(TablesChange::TargetRemoved(target.id.clone()));
            }
        }
        for target in differences(&self.targets, &older.targets, compare_targets) {
            changes.push(TablesChange::TargetSet(target.clone()));
        }
    }

    fn add_edge_changes(&self, older: &Tables, changes: &mut Vec<TablesChange>) {
        for edge in differences(&older.edges, &self.edges, compare_edges) {
            if !contains(&self.edges, edge, compare_edges) {
                changes.push(TablesChange::EdgeRemoved(edge.node.clone()));
            }
        }
        for edge in differences(&self.edges, &older.edges, compare_edges) {
            changes.push(TablesChange::EdgeSet(edge.clone()));
        }
    }
}
