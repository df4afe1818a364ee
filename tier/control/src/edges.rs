//! Live edge machines.

use std::collections::BTreeMap;
use std::sync::Arc;

use plankhill_protocol::ids::{Incarnation, NodeId};
use plankhill_protocol::tables::Edge;
use serde::{Deserialize, Serialize};

use crate::operation::Outcome;

/// Edges at once; far above the largest deployment described.
const MAX_EDGES: usize = 4_096;

/// The live edges by machine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edges {
    live: BTreeMap<NodeId, Arc<Edge>>,
}

impl Edges {
    /// All edges in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Edge>> {
        self.live.values()
    }

    /// One edge.
    pub fn get(&self, node: &NodeId) -> Option<&Arc<Edge>> {
        self.live.get(node)
    }

    /// Whether [`Edges::set`] would change nothing.
    pub fn is_known(&self, edge: &Edge) -> bool {
        self.live
            .get(&edge.node)
            .is_some_and(|held| **held == *edge)
    }

    /// Takes an edge in.
    pub(crate) fn set(&mut self, edge: &Edge) -> Outcome {
        if self.is_known(edge) {
            return Outcome::Ignored;
        }
        if !self.live.contains_key(&edge.node) && self.live.len() >= MAX_EDGES {
            return Outcome::Full;
        }
        self.live.insert(edge.node.clone(), Arc::new(edge.clone()));
        Outcome::Applied
    }

    /// Forgets one life of an edge.
    pub(crate) fn remove(&mut self, node: &NodeId, incarnation: Incarnation) -> Outcome {
        if self
            .live
            .get(node)
            .is_some_and(|held| held.incarnation == incarnation)
        {
            self.live.remove(node);
            Outcome::Applied
        } else {
            Outcome::Ignored
        }
    }
}
