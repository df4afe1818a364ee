//! The stores that hold turns and budgets, and the transition from one set of stores to the next.
//!
//! Before the first view, registered stores wait as bootstrap candidates (`bootstrap`). Afterwards
//! every change of the set goes through a next set (`reconfiguration`): while the view has one,
//! writes need a quorum in both sets, and the next set becomes the serving one once each of its
//! members has copied everything that belongs to it. Every change of the view raises its epoch,
//! which voids what members reported as synced before.

mod bootstrap;
mod reconfiguration;

use std::collections::{BTreeMap, BTreeSet};

use plankhill_protocol::ids::{Incarnation, NodeId};
use plankhill_protocol::tables::{StoreMember, StoreView};
use serde::{Deserialize, Serialize};

use crate::outcome::Outcome;

/// Most stores registered at once; far above the largest deployment described.
const MAX_STORES: usize = 1_024;

/// The present view of the stores and the progress towards the next one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stores {
    view: StoreView,
    /// Stores that registered before the first view; empty afterwards.
    bootstrap_candidates: BTreeMap<NodeId, StoreMember>,
    /// Members of the next set that are ready for the present epoch.
    synced: BTreeSet<NodeId>,
}

impl Stores {
    /// The present view.
    pub fn view(&self) -> &StoreView {
        &self.view
    }

    /// Members of the next set that are ready for the present epoch.
    pub fn synced_members(&self) -> impl Iterator<Item = &NodeId> {
        self.synced.iter()
    }

    /// Whether exactly this store is where its last registration put it, so that registering it
    /// again changes nothing.
    pub fn is_registered(&self, member: &StoreMember) -> bool {
        self.desired_members().contains(member)
            || self.bootstrap_candidates.get(&member.node) == Some(member)
    }

    /// Whether the store may hold data that no other store holds.
    pub fn holds_data(&self, node: &NodeId) -> bool {
        self.view_members().any(|member| member.node == *node)
    }

    /// The incarnations of a machine's disk that are in the view or wait for the first view.
    pub fn incarnations_of<'a>(
        &'a self,
        node: &'a NodeId,
    ) -> impl Iterator<Item = Incarnation> + 'a {
        self.view_members()
            .chain(self.bootstrap_candidates.values())
            .filter(move |member| member.node == *node)
            .map(|member| member.incarnation)
    }

    /// Registers a store: a new one, or a new incarnation of a known one.
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

    /// The members of the serving set, then those of the next one.
    fn view_members(&self) -> impl Iterator<Item = &StoreMember> {
        self.view
            .serving
            .iter()
            .chain(self.view.next.iter().flatten())
    }

    /// The set that serves once the transition in progress is complete.
    fn desired_members(&self) -> &[StoreMember] {
        self.view.next.as_deref().unwrap_or(&self.view.serving)
    }

    /// The number of stores that tolerate the loss of f of them: 2f+1.
    fn full_size(&self) -> usize {
        2 * self.view.tolerated_faults as usize + 1
    }

    /// Begins another epoch. What members reported as synced was for the former one.
    fn advance_epoch(&mut self) {
        self.view.epoch.0 += 1;
        self.synced.clear();
    }
}
