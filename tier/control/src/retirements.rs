//! Stores that the operator retires: their data moves to other stores before the nodes are removed.

use std::collections::BTreeSet;

use plankhill_protocol::ids::NodeId;
use serde::{Deserialize, Serialize};

use crate::outcome::Outcome;
use crate::stores::Stores;

/// Maximum number of retired nodes; far more than any deployment retires.
const MAX_RETIRED: usize = 4_096;

/// The progress of a retirement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retirement {
    /// The store may hold data that no other store holds yet.
    InProgress,
    /// Other stores hold all data of the store.
    Completed,
}

/// The retired stores. A retirement is final: a retired store is never registered again.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Retirements {
    nodes: BTreeSet<NodeId>,
}

impl Retirements {
    /// Returns whether the retirement of the store is in progress or completed.
    pub fn contains(&self, node: &NodeId) -> bool {
        self.nodes.contains(node)
    }

    /// Returns the progress of a store's retirement; `None` if the store is not retired.
    pub fn progress(&self, node: &NodeId, stores: &Stores) -> Option<Retirement> {
        if !self.contains(node) {
            return None;
        }
        if stores.holds_data(node) {
            Some(Retirement::InProgress)
        } else {
            Some(Retirement::Completed)
        }
    }

    /// Starts the retirement of a store.
    pub(crate) fn start(&mut self, node: &NodeId, stores: &mut Stores) -> Outcome {
        if self.contains(node) {
            return Outcome::Duplicate;
        }
        if self.nodes.len() >= MAX_RETIRED {
            return Outcome::Full;
        }
        let outcome = stores.retire(node);
        if outcome.is_applied() {
            self.nodes.insert(node.clone());
        }
        outcome
    }
}
