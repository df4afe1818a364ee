//! The published role of a replica in the chain.

use plankhill_chain::{Member, ViewNumber};

/// The role of this member in its newest view.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// Number of the view; 0 before the first view.
    pub view: ViewNumber,
    /// Whether this member is the head of the chain in that view and has a recent confirmation of
    /// the view.
    pub is_head: bool,
    /// Whether this member, with the current incarnation of its disk, is part of the chain.
    pub is_in_chain: bool,
    /// The members of the chain, head first.
    pub chain: Vec<Member>,
    /// All voters of the view, including those that are not part of the chain.
    pub voters: Vec<Member>,
}
