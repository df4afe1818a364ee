//! Edges that the operator has taken out of service.

use std::collections::BTreeMap;

use plankhill_draining::room::{check, Member};
use plankhill_protocol::ids::NodeId;
use plankhill_protocol::tables::Drain;
use serde::{Deserialize, Serialize};

use crate::edges::Edges;
use crate::operation::Outcome;

/// Edges out of service at once; no more edges than that are known either.
const MAX_DRAINS: usize = 4_096;

/// An order that takes edges out of service, or back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainOrder {
    /// The number of the last order that the operator knew of; 0 for none.
    pub expected: u64,
    /// The machines.
    pub nodes: Vec<NodeId>,
    /// Whether they leave; otherwise they are taken back.
    pub leave: bool,
}

/// What is out of service, by numbered orders: two operators cannot overtake each other unseen.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drains {
    number: u64,
    last: Option<DrainOrder>,
    nodes: BTreeMap<NodeId, Drain>,
}

impl Drains {
    /// The number of the last order; 0 for none.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// What is out of service, in the order of names.
    pub fn iter(&self) -> impl Iterator<Item = &Drain> {
        self.nodes.values()
    }

    /// Carries out an order. The last one, sent again, is acknowledged again.
    pub(crate) fn order(&mut self, order: &DrainOrder, edges: &Edges) -> Outcome {
        if self.last.as_ref() == Some(order) {
            return Outcome::Repeated;
        }
        if order.expected != self.number {
            return Outcome::Conflict {
                current: self.number,
            };
        }
        if !order.nodes.iter().all(|node| self.is_known(node, edges)) {
            return Outcome::UnknownEdge;
        }
        if order.leave {
            if self.nodes.len() + order.nodes.len() > MAX_DRAINS {
                return Outcome::Full;
            }
            if !self.has_room(&order.nodes, edges) {
                return Outcome::TooFewEdges;
            }
        }
        self.number += 1;
        order
            .nodes
            .iter()
            .for_each(|node| self.set(node, order.leave));
        self.last = Some(order.clone());
        Outcome::Applied
    }

    /// An edge is empty under an order; of an earlier one it says nothing.
    pub(crate) fn emptied(&mut self, node: &NodeId, number: u64) -> Outcome {
        match self.nodes.get_mut(node) {
            Some(drain) if drain.number == number && !drain.empty => {
                drain.empty = true;
                Outcome::Applied
            }
            _ => Outcome::Ignored,
        }
    }

    fn is_known(&self, node: &NodeId, edges: &Edges) -> bool {
        edges.get(node).is_some() || self.nodes.contains_key(node)
    }

    fn set(&mut self, node: &NodeId, leave: bool) {
        if !leave {
            self.nodes.remove(node);
        } else if !self.nodes.contains_key(node) {
            let drain = Drain {
                node: node.clone(),
                number: self.number,
                empty: false,
            };
            self.nodes.insert(node.clone(), drain);
        }
    }

    fn has_room(&self, leaving: &[NodeId], edges: &Edges) -> bool {
        let members = edges.iter().map(|edge| Member {
            zone: edge.zone.clone(),
            leaves: leaving.contains(&edge.node) || self.nodes.contains_key(&edge.node),
        });
        check(&members.collect::<Vec<_>>()).is_ok()
    }
}
