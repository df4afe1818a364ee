//! Creation of the first view once enough stores have registered.

use plankhill_protocol::tables::StoreMember;

use super::{Stores, MAX_STORES};
use crate::outcome::Outcome;

impl Stores {
    /// Returns whether there is no view yet and there are enough candidates for a quorum (f+1),
    /// although not yet 2f+1.
    pub fn can_bootstrap_below_full_size(&self) -> bool {
        let quorum = self.view.tolerated_faults as usize + 1;
        self.view.serving.is_empty() && self.bootstrap_candidates.len() >= quorum
    }

    /// Adds a candidate. The first view is created as soon as there are 2f+1 candidates.
    pub(super) fn add_bootstrap_candidate(&mut self, member: &StoreMember) -> Outcome {
        if self.bootstrap_candidates.len() >= MAX_STORES {
            return Outcome::Full;
        }
        self.bootstrap_candidates
            .insert(member.node.clone(), member.clone());
        if self.bootstrap_candidates.len() >= self.full_size() {
            self.bootstrap();
        }
        Outcome::Applied
    }

    /// Creates the first view with fewer than 2f+1 stores. More stores may join later.
    pub(crate) fn bootstrap_below_full_size(&mut self) -> Outcome {
        if !self.can_bootstrap_below_full_size() {
            return Outcome::Ignored;
        }
        self.bootstrap();
        Outcome::Applied
    }

    fn bootstrap(&mut self) {
        let candidates = std::mem::take(&mut self.bootstrap_candidates);
        self.view.serving = candidates.into_values().collect();
        self.advance_epoch();
    }
}
