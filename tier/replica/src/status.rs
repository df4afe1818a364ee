//! The role of a replica in the chain, as the rest of the process sees it.

use plankhill_chain::{Member, ViewNumber};

/// The role of this member in the newest view that it knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// Number of the view; 0 before the first.
    pub view: ViewNumber,
    /// Whether this member heads the chain of that view and has lately received a confirmation of
    /// the view.
    pub is_head: bool,
    /// Whether this member, with the disk that it has now, is in service.
    pub is_in_chain: bool,
    /// The chain, head first.
    pub chain: Vec<Member>,
    /// All voters, also those out of service.
    pub voters: Vec<Member>,
}
