//! Edges that the operator has taken out of service.
//!
//! Optimistic concurrency control: orders are numbered, and each one names the order that it builds
//! on. Of two concurrent orders that build on the same one, the second gets [`Outcome::Conflict`] and
//! cannot silently overwrite the first.

use std::collections::BTreeMap;

use plankhill_draining::disruption_budget::{check_disruption_budget, BudgetMember};
use plankhill_protocol::ids::NodeId;
use plankhill_protocol::tables::Drain;
use serde::{Deserialize, Serialize};

use crate::drain_order::{DrainAction, DrainOrder};
use crate::edges::Edges;
use crate::outcome::Outcome;

/// Maximum number of draining edges; also the maximum number of registered edges.
const MAX_DRAINS: usize = 4_096;

/// The draining edges and the number of the last order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drains {
    last_number: u64,
    last_order: Option<DrainOrder>,
    nodes: BTreeMap<NodeId, Drain>,
}

impl Drains {
    /// Returns the number of the last order; 0 for none.
    pub fn last_number(&self) -> u64 {
        self.last_number
    }

    /// Iterates over the draining edges, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = &Drain> {
        self.nodes.values()
    }

    /// Applies an order. A repeat of the last order is a duplicate and changes nothing.
    pub(crate) fn apply_order(&mut self, order: &DrainOrder, edges: &Edges) -> Outcome {
        if self.last_order.as_ref() == Some(order) {
            return Outcome::Duplicate;
        }
        if order.expected != self.last_number {
            return Outcome::Conflict {
                current: self.last_number,
            };
        }
        if !order.nodes.iter().all(|node| self.is_known(node, edges)) {
            return Outcome::UnknownEdge;
        }
        if order.action == DrainAction::Drain {
            if self.nodes.len() + order.nodes.len() > MAX_DRAINS {
                return Outcome::Full;
            }
            if !self.is_within_budget(&order.nodes, edges) {
                return Outcome::TooFewEdges;
            }
        }
        self.last_number += 1;
        for node in &order.nodes {
            match order.action {
                DrainAction::Drain => self.drain(node),
                DrainAction::Undrain => {
                    self.nodes.remove(node);
                }
            }
        }
        self.last_order = Some(order.clone());
        Outcome::Applied
    }

    /// Records that an edge has drained under the order with this number.
    ///
    /// A report for an earlier order is ignored: the edge has been in service since and may have
    /// clients again.
    pub(crate) fn record_drained(&mut self, node: &NodeId, number: u64) -> Outcome {
        match self.nodes.get_mut(node) {
            Some(drain) if drain.number == number && !drain.empty => {
                drain.empty = true;
                Outcome::Applied
            }
            _ => Outcome::Ignored,
        }
    }

    /// Starts to drain an edge under the number of the current order. An edge that is already draining
    /// keeps its number and its progress.
    fn drain(&mut self, node: &NodeId) {
        if !self.nodes.contains_key(node) {
            let drain = Drain {
                node: node.clone(),
                number: self.last_number,
                empty: false,
            };
            self.nodes.insert(node.clone(), drain);
        }
    }

    fn is_known(&self, node: &NodeId, edges: &Edges) -> bool {
        edges.get(node).is_some() || self.nodes.contains_key(node)
    }

    /// Returns whether enough edges stay in service if these drain in addition to those that are
    /// already draining.
    fn is_within_budget(&self, draining: &[NodeId], edges: &Edges) -> bool {
        let members: Vec<BudgetMember> = edges
            .iter()
            .map(|edge| BudgetMember {
                zone: edge.zone.clone(),
                is_draining: draining.contains(&edge.node) || self.nodes.contains_key(&edge.node),
            })
            .collect();
        check_disruption_budget(&members).is_ok()
    }
}
