//! Changes of the set of stores after the first view.

use plankhill_protocol::ids::{Incarnation, NodeId, StoreEpoch};
use plankhill_protocol::tables::StoreMember;

use super::{Stores, MAX_STORES};
use crate::outcome::Outcome;

impl Stores {
    /// Adds a store to the next set, in place of another incarnation on the same machine.
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

    /// Changes the address or zone of an incarnation that is in the view already: its data is where
    /// it was, so that it need not sync. Returns false if the incarnation has to join as a new one
    /// would.
    pub(super) fn update_same_incarnation(&mut self, member: &StoreMember) -> bool {
        let next = self.view.next.iter_mut().flatten();
        for present in self.view.serving.iter_mut().chain(next) {
            if is_incarnation(present, &member.node, member.incarnation) {
                *present = member.clone();
            }
        }
        // A serving incarnation may have been removed from the next set meanwhile; it then has to
        // join again.
        let is_desired = self.desired_members().contains(member);
        if is_desired {
            self.advance_epoch();
        }
        is_desired
    }

    /// Records that a member of the next set is ready. The last member to be ready makes the next
    /// set the serving one.
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

    /// Takes a store out of the next set if at least 2f+1 remain.
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

    /// Removes a store that has been lost for long: one that was joining, or a serving one that
    /// others replace.
    ///
    /// Where fewer than 2f+1 would remain, the transition in progress is abandoned and the serving
    /// set stays.
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

    /// Whether [`SingletonTask::RemoveLostStore`](crate::SingletonTask::RemoveLostStore) would
    /// change something.
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

    /// Makes this the set that serves next. There is no next set if the set serves already.
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
