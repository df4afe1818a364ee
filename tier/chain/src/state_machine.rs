//! Interface of the replicated state machine.

use plankhill_protocol::ids::Revision;
use thiserror::Error;

/// Error for a snapshot that the state machine cannot decode.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the state machine cannot decode the snapshot")]
pub struct BadSnapshot;

/// A deterministic state machine that the chain replicates.
pub trait StateMachine {
    /// Applies an operation and returns its outcome. The new state and the outcome must depend only
    /// on the previous state, the revision and the operation, so that they are the same on every
    /// member.
    fn apply(&mut self, revision: Revision, operation: &[u8]) -> Vec<u8>;

    /// Encodes the complete state.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the state; an empty snapshot is the state before the first operation.
    ///
    /// # Errors
    /// [`BadSnapshot`] if the state machine cannot decode the snapshot.
    fn restore(&mut self, revision: Revision, snapshot: &[u8]) -> Result<(), BadSnapshot>;
}
