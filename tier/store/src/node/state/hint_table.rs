//! The hints of updates that other stores have missed. A hint only identifies the update; the content is
//! read from this store when the hint is delivered.

use std::collections::{BTreeMap, BTreeSet};

use plankhill_protocol::ids::{NodeId, ProgramId, RequestId};

use crate::limits::MAX_HINTS_PER_STORE;

/// The turn of which a store has missed an update. Hints are delivered in the order of these values.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::node) struct MissedUpdate {
    pub(in crate::node) program: ProgramId,
    pub(in crate::node) turn: RequestId,
}

/// Owns the hints that this store keeps for other stores; their rows on disk are updated after this table.
#[derive(Debug, Default)]
pub(in crate::node) struct HintTable {
    missed: BTreeMap<NodeId, BTreeSet<MissedUpdate>>,
}

impl HintTable {
    /// Adds a hint, unless the limit is reached. Returns whether the hint was added.
    pub(in crate::node) fn insert(&mut self, node: &NodeId, update: MissedUpdate) -> bool {
        let missed = self.missed.entry(node.clone()).or_default();
        missed.len() < MAX_HINTS_PER_STORE && missed.insert(update)
    }

    /// Returns the first `count` updates that a store has missed.
    pub(in crate::node) fn first(&self, node: &NodeId, count: usize) -> Vec<MissedUpdate> {
        match self.missed.get(node) {
            Some(missed) => missed.iter().take(count).cloned().collect(),
            None => Vec::new(),
        }
    }

    /// Removes a hint.
    pub(in crate::node) fn remove(&mut self, node: &NodeId, update: &MissedUpdate) {
        if let Some(missed) = self.missed.get_mut(node) {
            missed.remove(update);
            if missed.is_empty() {
                self.missed.remove(node);
            }
        }
    }

    /// The stores that have missed an update.
    pub(in crate::node) fn nodes(&self) -> Vec<NodeId> {
        self.missed.keys().cloned().collect()
    }

    /// Number of hints.
    pub(in crate::node) fn len(&self) -> usize {
        self.missed.values().map(BTreeSet::len).sum()
    }
}
