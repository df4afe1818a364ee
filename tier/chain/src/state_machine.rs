//! The contract of the state that the chain replicates.

use plankhill_protocol::ids::Revision;
use thiserror::Error;

/// A snapshot that is not one of this state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the snapshot cannot be read")]
pub struct BadSnapshot;

/// What the chain replicates.
pub trait StateMachine {
    /// Applies an operation and returns its outcome. Both must depend on nothing but the state, the
    /// revision and the operation, so that they are the same on every member.
    fn apply(&mut self, revision: Revision, operation: &[u8]) -> Vec<u8>;

    /// The complete state.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the state; an empty snapshot stands for the state before the first operation.
    ///
    /// # Errors
    /// [`BadSnapshot`] when it is not one of this state machine.
    fn restore(&mut self, revision: Revision, snapshot: &[u8]) -> Result<(), BadSnapshot>;
}
