//! Changes of the set of stores after the first view was created.

use plankhill_protocol::ids::{Incarnation, NodeId, StoreEpoch};
use plankhill_protocol::tables::StoreMember;

use super::{Stores, MAX_STORES};
use crate::outcome::Outcome;

impl Stores {
    /// Adds a store to the next set, where it replaces any other incarnation on the same node.
    pub(super) fn add_to_next(&mut self, member: &StoreMember) -> Outcome {
        let mut next = self.desired_members_without(&member.node);
        if next.len() >= MAX_STORES {
            return Outcome::Full;
        }
        next.push(member.clone());
        next.sort_by(|one, other| one.node.cmp(&other.node));
        self.set_next(next);
        Outcome::Applied
    }

    /// Updates the address or zone of an incarnation that is already in the view. The incarnation still
    /// has its data, so that it does not need to sync. Returns `false` if the incarnation has to join
    /// like a new one.
    pub(super) fn update_same_incarnation(&mut self, member: &StoreMember) -> bool {
        let next = self.view.next.iter_mut().flatten();
        for present in self.view.serving.iter_mut().chain(next) {
            if is_incarnation(present, &member.node, member.incarnation) {
                *present = member.clone();
            }
        }
        // A serving incarnation that was removed from the next set has to join again.
        let is_desired = self.desired_members().contains(member);
        if is_desired {
            self.advance_epoch();
        }
        is_desired
    }

    /// Records that a member of the next set has synced. Once all members have synced, the next set
    /// becomes the serving set.
    pub(crate) fn record_synced(
        &mut self,
        node: &NodeId,
        incarnation: Incarnation,
        epoch: StoreEpoch,
    ) -> Outcome {
        if epoch != self.view.epoch {
            return Outcome::Ignored;
        }
        let mut next = self.view.next.iter().flatten();
        if !next.any(|member| is_incarnation(member, node, incarnation)) {
            return Outcome::Ignored;
        }
        if !self.synced.insert(node.clone()) {
            return Outcome::Ignored;
        }
        self.switch_if_all_synced();
        Outcome::Applied
    }

    fn switch_if_all_synced(&mut self) {
        let Some(next) = &self.view.next else { return };
        if next.iter().all(|member| self.synced.contains(&member.node)) {
            self.view.serving = next.clone();
            self.view.next = None;
            self.advance_epoch();
        }
    }

    /// Removes a store from the desired set if at least 2f+1 stores remain.
    pub(crate) fn retire(&mut self, node: &NodeId) -> Outcome {
        if !self.holds_data(node) {
            return Outcome::UnknownStore;
        }
        let remaining = self.desired_members_without(node);
        if remaining.len() < self.full_size() {
            return Outcome::TooFewStores;
        }
        self.set_next(remaining);
        Outcome::Applied
    }

    /// Removes a store that was lost: a joining store, or a serving store without which at least 2f+1
    /// desired members remain.
    ///
    /// If fewer than 2f+1 would remain without a joining store, the transition in progress is
    /// abandoned and the serving set stays.
    pub(crate) fn remove_lost(&mut self, node: &NodeId, incarnation: Incarnation) -> Outcome {
        if !self.can_remove_lost(node, incarnation) {
            return Outcome::Ignored;
        }
        let remaining = self.desired_members_without(node);
        if remaining.len() < self.full_size() {
            self.set_next(self.view.serving.clone());
        } else {
            self.set_next(remaining);
        }
        Outcome::Applied
    }

    /// Returns whether [`SingletonTask::RemoveLostStore`](crate::SingletonTask::RemoveLostStore) would
    /// change the state.
    pub fn can_remove_lost(&self, node: &NodeId, incarnation: Incarnation) -> bool {
        let is_lost = |member: &StoreMember| is_incarnation(member, node, incarnation);
        if !self.desired_members().iter().any(is_lost) {
            return false;
        }
        let is_joining = !self.view.serving.iter().any(is_lost);
        is_joining || self.desired_members_without(node).len() >= self.full_size()
    }

    fn desired_members_without(&self, node: &NodeId) -> Vec<StoreMember> {
        self.desired_members()
            .iter()
            .filter(|member| member.node != *node)
            .cloned()
            .collect()
    }

    /// Sets the next set, or clears it if the given set is already the serving one.
    fn set_next(&mut self, next: Vec<StoreMember>) {
        self.view.next = if next == self.view.serving {
            None
        } else {
            Some(next)
        };
        self.advance_epoch();
    }
}

fn is_incarnation(member: &StoreMember, node: &NodeId, incarnation: Incarnation) -> bool {
    member.node == *node && member.incarnation == incarnation
}
