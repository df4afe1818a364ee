//! The tables that the data plane receives from the control state: complete, or as the difference
//! between two states.

use std::collections::BTreeMap;
use std::sync::Arc;

use plankhill_protocol::ids::{InstanceId, NodeId, Revision};
use plankhill_protocol::tables::{compare_targets, Edge, Tables, TablesChange, Target};

use crate::state::ControlState;

/// Returns the tables of the state at `revision`.
pub fn build_tables(state: &ControlState, revision: Revision) -> Tables {
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

/// Returns the changes that turn the tables of one state into those of a later one, in the order in
/// which a receiver has to apply them.
pub fn diff_tables(before: &ControlState, after: &ControlState) -> Vec<TablesChange> {
    let mut changes = Vec::new();
    diff_configuration(before, after, &mut changes);
    diff_targets(before, after, &mut changes);
    if before.stores().view() != after.stores().view() {
        changes.push(TablesChange::Stores(after.stores().view().clone()));
    }
    diff_edges(before, after, &mut changes);
    if before.drains().iter().ne(after.drains().iter()) {
        changes.push(TablesChange::Drains(
            after.drains().iter().cloned().collect(),
        ));
    }
    changes
}

fn diff_configuration(
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

fn diff_targets(before: &ControlState, after: &ControlState, changes: &mut Vec<TablesChange>) {
    let earlier: BTreeMap<&InstanceId, &Arc<Target>> = before
        .targets()
        .iter()
        .map(|target| (&target.id, target))
        .collect();
    for id in earlier.keys() {
        if after.targets().get(id).is_none() {
            changes.push(TablesChange::TargetRemoved((*id).clone()));
        }
    }
    for target in after.targets().iter() {
        if let Some(earlier) = earlier.get(&target.id) {
            if is_unchanged(earlier, target) {
                continue;
            }
            // The tables are sorted by service: a target that moves to another service has to be
            // removed from its previous position first.
            if earlier.service != target.service {
                changes.push(TablesChange::TargetRemoved(target.id.clone()));
            }
        }
        changes.push(TablesChange::TargetSet((**target).clone()));
    }
}

fn diff_edges(before: &ControlState, after: &ControlState, changes: &mut Vec<TablesChange>) {
    let earlier: BTreeMap<&NodeId, &Arc<Edge>> = before
        .edges()
        .iter()
        .map(|edge| (&edge.node, edge))
        .collect();
    for node in earlier.keys() {
        if after.edges().get(node).is_none() {
            changes.push(TablesChange::EdgeRemoved((*node).clone()));
        }
    }
    for edge in after.edges().iter() {
        let is_unchanged = earlier
            .get(&edge.node)
            .is_some_and(|earlier| is_unchanged(earlier, edge));
        if !is_unchanged {
            changes.push(TablesChange::EdgeSet((**edge).clone()));
        }
    }
}

/// Returns whether a row is equal in both states. The two states share most rows, so that comparing
/// the pointers usually avoids comparing the contents.
fn is_unchanged<T: PartialEq>(before: &Arc<T>, after: &Arc<T>) -> bool {
    Arc::ptr_eq(before, after) || before == after
}
