//! The whole control state.

use plankhill_protocol::ids::Revision;
use plankhill_protocol::tables::ConfigurationText;
use serde::{Deserialize, Serialize};

use crate::configuration::ConfigurationHistory;
use crate::drains::Drains;
use crate::edges::Edges;
use crate::operation::{Duty, Operation, Outcome};
use crate::retirements::Retirements;
use crate::stores::Stores;
use crate::targets::Targets;

/// Everything that the controllers agree on. Cloning is cheap: large parts are shared.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlState {
    configuration: ConfigurationHistory,
    targets: Targets,
    edges: Edges,
    stores: Stores,
    retirements: Retirements,
    /// The newest view whose head has done a duty.
    duty_view: u64,
    drains: Drains,
}

impl ControlState {
    /// Applies one operation; the same on every controller. `_revision` is the position that it makes.
    pub fn apply(&mut self, _revision: Revision, operation: &Operation) -> Outcome {
        match operation {
            Operation::PutConfiguration {
                expected,
                version,
                document,
            } => self.configuration.put(*expected, *version, document),
            Operation::SetTarget(target) => self.targets.set(target),
            Operation::RemoveTarget(id) => self.targets.remove(id),
            Operation::SetEdge(edge) => self.edges.set(edge),
            Operation::RemoveEdge { node, incarnation } => self.edges.remove(node, *incarnation),
            Operation::RegisterStore { member, faults } => {
                if self.retirements.contains(&member.node) {
                    return Outcome::Ignored;
                }
                self.stores.register(member, *faults)
            }
            Operation::StoreSynced {
                node,
                incarnation,
                epoch,
            } => self.stores.synced(node, *incarnation, *epoch),
            Operation::RetireStore(node) => self.retirements.start(node, &mut self.stores),
            Operation::OrderDrain(order) => self.drains.order(order, &self.edges),
            Operation::EdgeEmptied { node, number } => self.drains.emptied(node, *number),
            Operation::Duty { view, duty } => self.apply_duty(*view, duty),
        }
    }

    fn apply_duty(&mut self, view: u64, duty: &Duty) -> Outcome {
        if view < self.duty_view {
            return Outcome::Fenced;
        }
        self.duty_view = view;
        match duty {
            Duty::ExpireTargets(expired) => self.targets.expire(expired),
            Duty::ForgetEdge { node, incarnation } => self.edges.remove(node, *incarnation),
            Duty::FoundStores => self.stores.found_with_fewer(),
            Duty::DropStore { node, incarnation } => self.stores.drop_lost(node, *incarnation),
        }
    }

    /// The operator's configuration; `None` before the first.
    pub fn configuration(&self) -> Option<&ConfigurationText> {
        self.configuration.current()
    }

    /// Which configurations were taken.
    pub fn configuration_history(&self) -> &ConfigurationHistory {
        &self.configuration
    }

    /// The registered targets.
    pub fn targets(&self) -> &Targets {
        &self.targets
    }

    /// The live edges.
    pub fn edges(&self) -> &Edges {
        &self.edges
    }

    /// The stores.
    pub fn stores(&self) -> &Stores {
        &self.stores
    }

    /// The edges that the operator has taken out of service.
    pub fn drains(&self) -> &Drains {
        &self.drains
    }

    /// The stores that the operator wants emptied.
    pub fn retirements(&self) -> &Retirements {
        &self.retirements
    }
}
