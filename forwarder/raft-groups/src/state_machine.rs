//! What a group keeps by its log.

use crate::{Incarnation, Term};

/// The bytes are no snapshot of the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the bytes are no snapshot of the state machine")]
pub struct CorruptSnapshot;

/// Applies each committed command once, in the log's order, the same on every instance of the group. It reads no
/// clock, draws nothing at random and does no I/O. A command that makes no sense changes nothing.
pub trait StateMachine: Send {
    /// Applies a command that `proposer` proposed while it led in `term`. A new leader's first entry of its term is
    /// applied before its instance is told of its election.
    fn apply(&mut self, proposer: Incarnation, term: Term, command: &[u8]);
    /// All that [`StateMachine::restore`] needs; it replaces the log before it.
    fn snapshot(&self) -> Vec<u8>;
    /// Replaces the state.
    ///
    /// # Errors
    /// [`CorruptSnapshot`] where the bytes are no snapshot; the state is as before.
    fn restore(&mut self, snapshot: &[u8]) -> Result<(), CorruptSnapshot>;
    /// Bytes of memory that the state takes, approximately: instances limit their sum.
    fn size(&self) -> usize;
}
