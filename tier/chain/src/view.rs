//! Members and numbered views of the chain.

use std::net::SocketAddr;

use plankhill_protocol::ids::{Incarnation, NodeId, Revision};
use serde::{Deserialize, Serialize};

/// Number of a view; 0 before the first view.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ViewNumber(pub u64);

impl ViewNumber {
    /// Returns whether this is the number of a view, and not 0.
    pub fn is_founded(self) -> bool {
        self.0 > 0
    }

    /// The number of the view that follows this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// One incarnation of a machine's disk. A machine that has lost its disk returns with a new
/// identity.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// The machine.
    pub node: NodeId,
    /// The incarnation of its disk.
    pub incarnation: Incarnation,
}

/// A core machine (a machine that runs a controller) that takes part in the chain or its
/// agreements.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The machine and its disk incarnation.
    pub identity: Identity,
    /// Address at which its controller listens for other processes of the tier.
    pub address: SocketAddr,
}

/// A numbered configuration of the chain, decided by a majority of the voters of the previous view.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// The view's number.
    pub number: ViewNumber,
    /// The members that vote on the next view, sorted by machine.
    pub voters: Vec<Member>,
    /// The members in service, head first; all of them are voters.
    pub chain: Vec<NodeId>,
    /// Revision at which the view begins: every member of the chain has exactly the operations up
    /// to this revision. All of them are committed, and they include every operation committed in
    /// earlier views.
    pub base: Revision,
}

impl View {
    /// The voter with this identity.
    pub fn voter(&self, identity: &Identity) -> Option<&Member> {
        self.voters.iter().find(|voter| voter.identity == *identity)
    }

    /// The voter on this machine, regardless of its incarnation.
    pub fn voter_on(&self, node: &NodeId) -> Option<&Member> {
        self.voters
            .iter()
            .find(|voter| voter.identity.node == *node)
    }

    /// Position in the chain, 0 for the head.
    pub fn position_of(&self, identity: &Identity) -> Option<usize> {
        self.voter(identity)?;
        self.chain.iter().position(|node| *node == identity.node)
    }

    /// Returns whether this identity is a member of the chain.
    pub fn is_in_chain(&self, identity: &Identity) -> bool {
        self.position_of(identity).is_some()
    }

    /// The member at a position of the chain.
    pub fn member_at(&self, position: usize) -> Option<&Member> {
        self.voter_on(self.chain.get(position)?)
    }

    /// The first member of the chain, which orders the operations.
    pub fn head(&self) -> Option<&Member> {
        self.member_at(0)
    }

    /// The last member of the chain, which commits operations and confirms reads.
    pub fn tail(&self) -> Option<&Member> {
        self.member_at(self.chain.len().checked_sub(1)?)
    }

    /// The member before this one in the chain.
    pub fn predecessor_of(&self, identity: &Identity) -> Option<&Member> {
        self.member_at(self.position_of(identity)?.checked_sub(1)?)
    }

    /// The member after this one in the chain.
    pub fn successor_of(&self, identity: &Identity) -> Option<&Member> {
        self.member_at(self.position_of(identity)? + 1)
    }

    /// The members of the chain, head first.
    pub fn chain_members(&self) -> impl Iterator<Item = &Member> {
        self.chain.iter().filter_map(|node| self.voter_on(node))
    }

    /// Number of voters that form a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns whether the voters that match the predicate form a majority.
    pub(crate) fn is_majority(&self, predicate: impl Fn(&Identity) -> bool) -> bool {
        let counted = self
            .voters
            .iter()
            .filter(|voter| predicate(&voter.identity))
            .count();
        counted >= self.majority()
    }
}
