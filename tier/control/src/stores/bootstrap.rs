//! The first view: stores wait until there are enough to serve.

use plankhill_protocol::tables::StoreMember;

use super::{Stores, MAX_STORES};
use crate::outcome::Outcome;

impl Stores {
    /// Whether fewer than 2f+1 stores, but enough for a quorum (f+1), wait for the first view.
    pub fn can_bootstrap_below_full_size(&self) -> bool {
        let quorum = self.view.tolerated_faults as usize + 1;
        self.view.serving.is_empty() && self.bootstrap_candidates.len() >= quorum
    }

    /// Adds a candidate; 2f+1 of them begin to serve at once.
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

    /// Begins to serve with fewer than 2f+1 stores; more may join later.
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
