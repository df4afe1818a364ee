//! Stores that the operator wants emptied.

use std::collections::BTreeSet;

use plankhill_protocol::ids::NodeId;
use serde::{Deserialize, Serialize};

use crate::operation::Outcome;
use crate::stores::Stores;

/// Machines remembered as retired; far above what one deployment retires.
const MAX_RETIRED: usize = 4_096;

/// How far the emptying of a store is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retirement {
    /// It still holds what others do not hold yet.
    InProgress,
    /// All that it held is elsewhere.
    Completed,
}

/// The stores retired, for good: none is taken in again.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Retirements {
    nodes: BTreeSet<NodeId>,
}

impl Retirements {
    /// Whether the store was retired, completed or not.
    pub fn contains(&self, node: &NodeId) -> bool {
        self.nodes.contains(node)
    }

    /// How far the emptying is; `None` if it was never asked for.
    pub fn progress(&self, node: &NodeId, stores: &Stores) -> Option<Retirement> {
        if !self.contains(node) {
            return None;
        }
        Some(if stores.holds_data(node) {
            Retirement::InProgress
        } else {
            Retirement::Completed
        })
    }

    /// Starts emptying a store.
    pub(crate) fn start(&mut self, node: &NodeId, stores: &mut Stores) -> Outcome {
        if self.contains(node) {
            return Outcome::Repeated;
        }
        if self.nodes.len() >= MAX_RETIRED {
            return Outcome::Full;
        }
        let outcome = stores.retire(node);
        if outcome.changed() {
            self.nodes.insert(node.clone());
        }
        outcome
    }
}
