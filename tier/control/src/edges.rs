//! Registered edge machines.

use std::collections::BTreeMap;
use std::sync::Arc;

use plankhill_protocol::ids::{Incarnation, NodeId};
use plankhill_protocol::tables::Edge;
use serde::{Deserialize, Serialize};

use crate::outcome::Outcome;

/// Maximum number of registered edges; far more than in the largest expected deployment.
const MAX_EDGES: usize = 4_096;

/// The registered edges by node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edges {
    registered: BTreeMap<NodeId, Arc<Edge>>,
}

impl Edges {
    /// Iterates over all edges, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Edge>> {
        self.registered.values()
    }

    /// Returns the edge on this node.
    pub fn get(&self, node: &NodeId) -> Option<&Arc<Edge>> {
        self.registered.get(node)
    }

    /// Returns whether exactly this edge is registered, in which case registering it again changes
    /// nothing.
    pub fn is_registered(&self, edge: &Edge) -> bool {
        self.registered
            .get(&edge.node)
            .is_some_and(|registered| **registered == *edge)
    }

    /// Registers an edge. It replaces any registered incarnation on the same node.
    pub(crate) fn register(&mut self, edge: &Edge) -> Outcome {
        if self.is_registered(edge) {
            return Outcome::Ignored;
        }
        if !self.registered.contains_key(&edge.node) && self.registered.len() >= MAX_EDGES {
            return Outcome::Full;
        }
        self.registered
            .insert(edge.node.clone(), Arc::new(edge.clone()));
        Outcome::Applied
    }

    /// Removes one incarnation of an edge. Another incarnation on the same node stays registered.
    pub(crate) fn remove(&mut self, node: &NodeId, incarnation: Incarnation) -> Outcome {
        match self.registered.get(node) {
            Some(registered) if registered.incarnation == incarnation => {
                self.registered.remove(node);
                Outcome::Applied
            }
            _ => Outcome::Ignored,
        }
    }
}
