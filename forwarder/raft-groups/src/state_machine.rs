//! The state machine that a group replicates through its log.

use crate::{Incarnation, Term};

/// The bytes are not a valid snapshot of the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the bytes are no snapshot of the state machine")]
pub struct CorruptSnapshot;

/// Applies each committed command once, in log order, with the same result on every instance of the group. An
/// implementation reads no clock, uses no randomness and does no I/O. An invalid command changes nothing.
pub trait StateMachine: Send {
    /// Applies a command that `proposer` proposed as the leader of `term`. The first entry of a new leader's term is
    /// applied before the leader's instance is notified of its election.
    fn apply(&mut self, proposer: Incarnation, term: Term, command: &[u8]);
    /// Serializes the complete state for [`StateMachine::restore`]; the snapshot replaces the log up to this point.
    fn snapshot(&self) -> Vec<u8>;
    /// Replaces the state with a snapshot.
    ///
    /// # Errors
    /// [`CorruptSnapshot`] if the bytes are not a valid snapshot; the state is then unchanged.
    fn restore(&mut self, snapshot: &[u8]) -> Result<(), CorruptSnapshot>;
    /// The approximate memory size of the state in bytes; instances limit the sum over their groups.
    fn size(&self) -> usize;
}
