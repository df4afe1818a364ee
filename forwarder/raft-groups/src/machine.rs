//! What a group keeps by its log.

/// Bytes that are no snapshot of the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CorruptSnapshot;

/// Told each committed command once, in the log's order, the same on every instance of the group. It reads no
/// clock, draws no chance and does no I/O. A command that makes no sense changes nothing.
pub trait StateMachine: Send {
    /// `proposer` proposed it while it led in `term`. A new leader's first command of its term is empty, and
    /// is applied before its instance is told that it leads.
    fn apply(&mut self, proposer: crate::Incarnation, term: crate::Term, command: &[u8]);
    /// All that `restore` needs; it replaces the log before it.
    fn snapshot(&self) -> Vec<u8>;
    fn restore(&mut self, snapshot: &[u8]) -> Result<(), CorruptSnapshot>;
    /// Bytes of memory that it keeps, about: a keeper's cap is on the sum.
    fn size(&self) -> usize;
}
