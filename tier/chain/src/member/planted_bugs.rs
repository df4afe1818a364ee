//! Injection of protocol bugs into a member, for tests.

use crate::planted_bug::PlantedBug;
use crate::state_machine::StateMachine;

use super::ChainMember;

impl<M: StateMachine> ChainMember<M> {
    /// Makes the member violate the protocol in this way from now on.
    pub fn plant_bug(&mut self, bug: PlantedBug) {
        self.planted_bug = Some(bug);
    }

    pub(super) fn has_bug(&self, bug: PlantedBug) -> bool {
        self.planted_bug == Some(bug)
    }
}
