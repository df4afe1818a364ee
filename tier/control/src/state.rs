//! The complete control state and the dispatch of operations to its tables.

use plankhill_protocol::ids::Revision;
use plankhill_protocol::tables::ConfigurationText;
use serde::{Deserialize, Serialize};

use crate::configuration::ConfigurationHistory;
use crate::drains::Drains;
use crate::edges::Edges;
use crate::operation::Operation;
use crate::outcome::Outcome;
use crate::retirements::Retirements;
use crate::singleton::SingletonTask;
use crate::stores::Stores;
use crate::targets::Targets;

/// The state that the controllers replicate. Cloning is cheap because large parts are shared.
///
/// The order of the fields is part of the format: the chain stores and sends the encoded state as a
/// snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlState {
    configuration: ConfigurationHistory,
    targets: Targets,
    edges: Edges,
    stores: Stores,
    retirements: Retirements,
    /// The fencing token of singleton tasks: the newest view of all singleton tasks so far.
    singleton_view: u64,
    drains: Drains,
}

impl ControlState {
    /// Applies one operation. The result is the same on every controller because it depends only on
    /// the state and the operation. `_revision` is the position of the operation in the order of the
    /// chain.
    pub fn apply(&mut self, _revision: Revision, operation: &Operation) -> Outcome {
        match operation {
            Operation::PutConfiguration {
                expected,
                version,
                document,
            } => self.configuration.put(*expected, *version, document),
            Operation::RegisterTarget(target) => self.targets.register(target),
            Operation::DeregisterTarget(id) => self.targets.deregister(id),
            Operation::RegisterEdge(edge) => self.edges.register(edge),
            Operation::DeregisterEdge { node, incarnation } => {
                self.edges.remove(node, *incarnation)
            }
            Operation::RegisterStore {
                member,
                tolerated_faults,
            } => {
                if self.retirements.contains(&member.node) {
                    return Outcome::Ignored;
                }
                self.stores.register(member, *tolerated_faults)
            }
            Operation::StoreSynced {
                node,
                incarnation,
                epoch,
            } => self.stores.record_synced(node, *incarnation, *epoch),
            Operation::RetireStore(node) => self.retirements.start(node, &mut self.stores),
            Operation::OrderDrain(order) => self.drains.apply_order(order, &self.edges),
            Operation::EdgeDrained { node, number } => self.drains.record_drained(node, *number),
            Operation::SingletonTask { view, task } => self.apply_singleton_task(*view, task),
        }
    }

    /// Applies a singleton task unless its proposer has been superseded.
    ///
    /// The head of a later view may have acted on a newer state already. A task of an earlier head
    /// that is applied after the first task of the later one could undo its changes.
    fn apply_singleton_task(&mut self, view: u64, task: &SingletonTask) -> Outcome {
        if view < self.singleton_view {
            return Outcome::Fenced;
        }
        self.singleton_view = view;
        match task {
            SingletonTask::ExpireTargets(expired) => self.targets.expire(expired),
            SingletonTask::ExpireEdge { node, incarnation } => {
                self.edges.remove(node, *incarnation)
            }
            SingletonTask::BootstrapStores => self.stores.bootstrap_below_full_size(),
            SingletonTask::RemoveLostStore { node, incarnation } => {
                self.stores.remove_lost(node, *incarnation)
            }
        }
    }

    /// Returns the operator's configuration; `None` before the first.
    pub fn configuration(&self) -> Option<&ConfigurationText> {
        self.configuration.current()
    }

    /// Returns the history of accepted configurations.
    pub fn configuration_history(&self) -> &ConfigurationHistory {
        &self.configuration
    }

    /// Returns the registered targets.
    pub fn targets(&self) -> &Targets {
        &self.targets
    }

    /// Returns the registered edges.
    pub fn edges(&self) -> &Edges {
        &self.edges
    }

    /// Returns the stores.
    pub fn stores(&self) -> &Stores {
        &self.stores
    }

    /// Returns the edges that the operator has taken out of service.
    pub fn drains(&self) -> &Drains {
        &self.drains
    }

    /// Returns the stores that the operator retires.
    pub fn retirements(&self) -> &Retirements {
        &self.retirements
    }
}
