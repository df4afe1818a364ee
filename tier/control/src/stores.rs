//! Which stores hold turns and budgets, and how one set takes over from another.
//!
//! The first 2f+1 stores that register start serving together, all empty. Afterwards every change goes through
//! a next set: its members copy what will belong to them, and once each has done so for the present epoch, the
//! next set becomes the serving one. Every change raises the epoch, and then all have to copy anew.

use std::collections::{BTreeMap, BTreeSet};

use plankhill_protocol::ids::{Incarnation, NodeId, StoreEpoch};
use plankhill_protocol::tables::{StoreMember, StoreView};
use serde::{Deserialize, Serialize};

use crate::operation::Outcome;

/// Stores at once; far above the largest deployment described.
const MAX_STORES: usize = 1_024;

/// The stores' view and what leads to the next one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stores {
    view: StoreView,
    /// Registered before the first view.
    founders: BTreeMap<NodeId, StoreMember>,
    /// Members of the next set that are ready for the present epoch.
    synced: BTreeSet<NodeId>,
}

impl Stores {
    /// The present view.
    pub fn view(&self) -> &StoreView {
        &self.view
    }

    /// Stores that wait for the first view.
    pub fn founders(&self) -> impl Iterator<Item = &StoreMember> {
        self.founders.values()
    }

    /// Members of the next set that are ready for the present epoch.
    pub fn synced_members(&self) -> impl Iterator<Item = &NodeId> {
        self.synced.iter()
    }

    /// Whether exactly this store is where its last registration put it.
    pub fn is_known(&self, member: &StoreMember) -> bool {
        self.target_set().contains(member) || self.founders.get(&member.node) == Some(member)
    }

    /// Whether the store may hold what others do not hold.
    pub fn holds_data(&self, node: &NodeId) -> bool {
        let next = self.view.next.iter().flatten();
        self.view
            .serving
            .iter()
            .chain(next)
            .any(|member| member.node == *node)
    }

    /// The lives of a machine's disk that are in the view or wait for the first one.
    pub fn lives_of<'a>(&'a self, node: &'a NodeId) -> impl Iterator<Item = Incarnation> + 'a {
        let members = self
            .view
            .serving
            .iter()
            .chain(self.view.next.iter().flatten());
        let all = members.chain(self.founders.values());
        all.filter(move |member| member.node == *node)
            .map(|member| member.incarnation)
    }

    /// Whether fewer than 2f+1, but enough for a quorum, wait for the first view.
    pub fn can_found_with_fewer(&self) -> bool {
        self.view.serving.is_empty() && self.founders.len() > self.view.tolerated_faults as usize
    }

    /// The set that is to serve once all changes under way are done.
    fn target_set(&self) -> &[StoreMember] {
        self.view.next.as_deref().unwrap_or(&self.view.serving)
    }

    /// Stores that must be left for f of them to be lost: 2f+1.
    fn full_size(&self) -> usize {
        2 * self.view.tolerated_faults as usize + 1
    }

    /// Takes a store in: a new one, or a new life of a known one.
    pub(crate) fn register(&mut self, member: &StoreMember, faults: u32) -> Outcome {
        self.view.tolerated_faults = faults;
        if self.is_known(member) {
            return Outcome::Ignored;
        }
        if self.view.serving.is_empty() {
            return self.register_founder(member);
        }
        if self.move_address(member) {
            return Outcome::Applied;
        }
        let mut next = self.without(&member.node);
        if next.len() >= MAX_STORES {
            return Outcome::Full;
        }
        next.push(member.clone());
        next.sort_by(|one, other| one.node.cmp(&other.node));
        self.replace_next(next);
        Outcome::Applied
    }

    fn register_founder(&mut self, member: &StoreMember) -> Outcome {
        if self.founders.len() >= MAX_STORES {
            return Outcome::Full;
        }
        self.founders.insert(member.node.clone(), member.clone());
        if self.founders.len() >= self.full_size() {
            self.found();
        }
        Outcome::Applied
    }

    /// Starts serving with fewer than 2f+1 stores; more may join later.
    pub(crate) fn found_with_fewer(&mut self) -> Outcome {
        if !self.can_found_with_fewer() {
            return Outcome::Ignored;
        }
        self.found();
        Outcome::Applied
    }

    fn found(&mut self) {
        self.view.serving = std::mem::take(&mut self.founders).into_values().collect();
        self.raise_epoch();
    }

    /// The same life of the disk at another address or zone keeps its place. False if that life is not known.
    fn move_address(&mut self, member: &StoreMember) -> bool {
        let next = self.view.next.iter_mut().flatten();
        let mut same_life: Vec<&mut StoreMember> = (self.view.serving.iter_mut().chain(next))
            .filter(|held| held.node == member.node && held.incarnation == member.incarnation)
            .collect();
        let known = !same_life.is_empty();
        same_life
            .iter_mut()
            .for_each(|held| **held = member.clone());
        // It may have been taken out of the next set meanwhile; then it comes back as a new one would.
        let known = known && self.target_set().contains(member);
        if known {
            self.raise_epoch();
        }
        known
    }

    /// A member of the next set is ready. The last one makes the next set the serving one.
    pub(crate) fn synced(
        &mut self,
        node: &NodeId,
        incarnation: Incarnation,
        epoch: StoreEpoch,
    ) -> Outcome {
        let is_member =
            |member: &StoreMember| member.node == *node && member.incarnation == incarnation;
        let expected = self
            .view
            .next
            .as_ref()
            .is_some_and(|next| next.iter().any(is_member));
        if epoch != self.view.epoch || !expected || !self.synced.insert(node.clone()) {
            return Outcome::Ignored;
        }
        self.switch_if_ready();
        Outcome::Applied
    }

    fn switch_if_ready(&mut self) {
        let Some(next) = &self.view.next else { return };
        if next.iter().all(|member| self.synced.contains(&member.node)) {
            self.view.serving = next.clone();
            self.view.next = None;
            self.raise_epoch();
        }
    }

    /// Takes a store out, if enough are left.
    pub(crate) fn retire(&mut self, node: &NodeId) -> Outcome {
        if !self.holds_data(node) {
            return Outcome::UnknownStore;
        }
        let left = self.without(node);
        if left.len() < self.full_size() {
            return Outcome::TooFewStores;
        }
        self.replace_next(left);
        Outcome::Applied
    }

    /// Does without a store that is gone for long: one that was to join, or a serving one that others replace.
    pub(crate) fn drop_lost(&mut self, node: &NodeId, incarnation: Incarnation) -> Outcome {
        if !self.can_drop(node, incarnation) {
            return Outcome::Ignored;
        }
        let left = self.without(node);
        let next = if left.len() < self.full_size() {
            self.view.serving.clone()
        } else {
            left
        };
        self.replace_next(next);
        Outcome::Applied
    }

    /// Whether [`Stores::drop_lost`] would change something.
    pub fn can_drop(&self, node: &NodeId, incarnation: Incarnation) -> bool {
        let is_it =
            |member: &StoreMember| member.node == *node && member.incarnation == incarnation;
        let joins = !self.view.serving.iter().any(is_it);
        let enough_left = self.without(node).len() >= self.full_size();
        self.target_set().iter().any(is_it) && (joins || enough_left)
    }

    fn without(&self, node: &NodeId) -> Vec<StoreMember> {
        self.target_set()
            .iter()
            .filter(|member| member.node != *node)
            .cloned()
            .collect()
    }

    /// Makes this the set that is to serve. Nothing is left to do if it serves already.
    fn replace_next(&mut self, next: Vec<StoreMember>) {
        self.view.next = (next != self.view.serving).then_some(next);
        self.raise_epoch();
    }

    fn raise_epoch(&mut self) {
        self.view.epoch.0 += 1;
        self.synced.clear();
    }
}
