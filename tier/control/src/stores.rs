//! The stores that hold turns and budgets, and the transition from one set of stores to the next.
//!
//! Before the first view, registered stores are bootstrap candidates (`bootstrap`). Afterwards each
//! change of the set goes through a next set (`reconfiguration`): while the view has a next set,
//! writes need a quorum in both sets. The next set becomes the serving set once each of its members
//! has copied all data assigned to it. Each change of the view increments its epoch, which
//! invalidates earlier synced reports.

mod bootstrap;
mod reconfiguration;

use std::collections::{BTreeMap, BTreeSet};

use plankhill_protocol::ids::{Incarnation, NodeId};
use plankhill_protocol::tables::{StoreMember, StoreView};
use serde::{Deserialize, Serialize};

use crate::outcome::Outcome;

/// Maximum number of registered stores; far more than in the largest expected deployment.
const MAX_STORES: usize = 1_024;

/// The current view of the stores and the progress of the transition to the next set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stores {
    view: StoreView,
    /// Stores that registered before the first view; empty afterwards.
    bootstrap_candidates: BTreeMap<NodeId, StoreMember>,
    /// Members of the next set that have synced in the current epoch.
    synced: BTreeSet<NodeId>,
}

impl Stores {
    /// Returns the current view.
    pub fn view(&self) -> &StoreView {
        &self.view
    }

    /// Iterates over the members of the next set that have synced in the current epoch.
    pub fn synced_members(&self) -> impl Iterator<Item = &NodeId> {
        self.synced.iter()
    }

    /// Returns whether exactly this store is a desired member or a bootstrap candidate, in which case
    /// registering it again changes nothing.
    pub fn is_registered(&self, member: &StoreMember) -> bool {
        self.desired_members().contains(member)
            || self.bootstrap_candidates.get(&member.node) == Some(member)
    }

    /// Returns whether the store may hold data that no other store holds.
    pub fn holds_data(&self, node: &NodeId) -> bool {
        self.view_members().any(|member| member.node == *node)
    }

    /// Iterates over the incarnations of a node's disk that are in the view or are bootstrap
    /// candidates.
    pub fn incarnations_of<'a>(
        &'a self,
        node: &'a NodeId,
    ) -> impl Iterator<Item = Incarnation> + 'a {
        self.view_members()
            .chain(self.bootstrap_candidates.values())
            .filter(move |member| member.node == *node)
            .map(|member| member.incarnation)
    }

    /// Registers a new store, a new incarnation of a store, or a change of its address or zone.
    pub(crate) fn register(&mut self, member: &StoreMember, tolerated_faults: u32) -> Outcome {
        self.view.tolerated_faults = tolerated_faults;
        if self.is_registered(member) {
            return Outcome::Ignored;
        }
        if self.view.serving.is_empty() {
            return self.add_bootstrap_candidate(member);
        }
        if self.update_same_incarnation(member) {
            return Outcome::Applied;
        }
        self.add_to_next(member)
    }

    /// Iterates over the members of the serving set, then those of the next set.
    fn view_members(&self) -> impl Iterator<Item = &StoreMember> {
        self.view
            .serving
            .iter()
            .chain(self.view.next.iter().flatten())
    }

    /// Returns the set that serves once a transition in progress is complete.
    fn desired_members(&self) -> &[StoreMember] {
        self.view.next.as_deref().unwrap_or(&self.view.serving)
    }

    /// Returns the number of stores needed to tolerate f failures: 2f+1.
    fn full_size(&self) -> usize {
        2 * self.view.tolerated_faults as usize + 1
    }

    /// Begins a new epoch and discards the synced reports, which were for the previous epoch.
    fn advance_epoch(&mut self) {
        self.view.epoch.0 += 1;
        self.synced.clear();
    }
}
