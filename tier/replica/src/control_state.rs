//! Implements [`ReplicatedState`] for the control state of the tier.

use plankhill_control::{ControlState, Operation, Outcome};
use plankhill_protocol::ids::Revision;

use crate::committed_state::ReplicatedState;

impl ReplicatedState for ControlState {
    type Operation = Operation;
    type Outcome = Outcome;

    fn apply(&mut self, revision: Revision, operation: &Operation) -> Outcome {
        ControlState::apply(self, revision, operation)
    }
}
