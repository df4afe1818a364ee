//! What the data plane receives of the control state: whole, or as the difference of two states.

use std::collections::BTreeMap;
use std::sync::Arc;

use plankhill_protocol::ids::{InstanceId, NodeId, Revision};
use plankhill_protocol::tables::{compare_targets, Edge, Tables, TablesChange, Target};

use crate::state::ControlState;

/// Everything that the data plane knows, at one revision.
pub fn tables_of(state: &ControlState, revision: Revision) -> Tables {
    let mut targets: Vec<Target> = state
        .targets()
        .iter()
        .map(|target| (**target).clone())
        .collect();
    targets.sort_by(compare_targets);
    Tables {
        revision,
        configuration: state.configuration().cloned(),
        targets,
        stores: state.stores().view().clone(),
        edges: state.edges().iter().map(|edge| (**edge).clone()).collect(),
        drains: state.drains().iter().cloned().collect(),
    }
}

/// What turns the tables of one state into those of a later one.
pub fn changes_between(before: &ControlState, after: &ControlState) -> Vec<TablesChange> {
    let mut changes = Vec::new();
    configuration_change(before, after, &mut changes);
    target_changes(before, after, &mut changes);
    if before.stores().view() != after.stores().view() {
        changes.push(TablesChange::Stores(after.stores().view().clone()));
    }
    edge_changes(before, after, &mut changes);
    if before.drains().iter().ne(after.drains().iter()) {
        changes.push(TablesChange::Drains(
            after.drains().iter().cloned().collect(),
        ));
    }
    changes
}

fn configuration_change(
    before: &ControlState,
    after: &ControlState,
    changes: &mut Vec<TablesChange>,
) {
    let version = |state: &ControlState| state.configuration().map(|current| current.version);
    if version(before) != version(after) {
        changes.extend(
            after
                .configuration()
                .cloned()
                .map(TablesChange::Configuration),
        );
    }
}

fn target_changes(before: &ControlState, after: &ControlState, changes: &mut Vec<TablesChange>) {
    let held: BTreeMap<&InstanceId, &Arc<Target>> = before
        .targets()
        .iter()
        .map(|target| (&target.id, target))
        .collect();
    let gone = held.keys().filter(|id| after.targets().get(id).is_none());
    changes.extend(gone.map(|id| TablesChange::TargetRemoved((*id).clone())));
    for target in after.targets().iter() {
        let earlier = held.get(&target.id);
        if earlier.is_some_and(|earlier| Arc::ptr_eq(earlier, target) || *earlier == target) {
            continue;
        }
        // The tables are ordered by service, so that a target that moves leaves its former place first.
        if earlier.is_some_and(|earlier| earlier.service != target.service) {
            changes.push(TablesChange::TargetRemoved(target.id.clone()));
        }
        changes.push(TablesChange::TargetSet((**target).clone()));
    }
}

fn edge_changes(before: &ControlState, after: &ControlState, changes: &mut Vec<TablesChange>) {
    let held: BTreeMap<&NodeId, &Arc<Edge>> = before
        .edges()
        .iter()
        .map(|edge| (&edge.node, edge))
        .collect();
    let gone = held.keys().filter(|node| after.edges().get(node).is_none());
    changes.extend(gone.map(|node| TablesChange::EdgeRemoved((*node).clone())));
    for edge in after.edges().iter() {
        let same = held
            .get(&edge.node)
            .is_some_and(|held| Arc::ptr_eq(held, edge) || *held == edge);
        if !same {
            changes.push(TablesChange::EdgeSet((**edge).clone()));
        }
    }
}
