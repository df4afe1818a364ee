//! Members and numbered views of the chain.

use std::net::SocketAddr;

use plankhill_protocol::ids::{Incarnation, NodeId, Revision};
use serde::{Deserialize, Serialize};

/// Number of a view; 0 before the first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ViewNumber(pub u64);

impl ViewNumber {
    /// Whether there is a view at all.
    pub fn is_founded(self) -> bool {
        self.0 > 0
    }

    /// The number of the view that follows this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// One incarnation of a machine's disk. A machine whose disk was lost comes back as another
/// identity.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// The machine.
    pub node: NodeId,
    /// The incarnation of its disk.
    pub incarnation: Incarnation,
}

/// A core machine that takes part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Which machine, with which disk.
    pub identity: Identity,
    /// Where its controller listens for other processes of the tier.
    pub address: SocketAddr,
}

/// What a majority of the former view's voters agreed on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// The view's number.
    pub number: ViewNumber,
    /// Who votes on the next view. Sorted by machine.
    pub voters: Vec<Member>,
    /// Who is in service, head first; all of them voters.
    pub chain: Vec<NodeId>,
    /// Every member of the chain has exactly the operations up to here when the view begins. All of
    /// them are committed, and everything committed in former views is among them.
    pub base: Revision,
}

impl View {
    /// The voter with this identity.
    pub fn voter(&self, identity: &Identity) -> Option<&Member> {
        self.voters.iter().find(|voter| voter.identity == *identity)
    }

    /// The voter on this machine, whichever its incarnation.
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

    /// Whether this identity is in service.
    pub fn is_in_chain(&self, identity: &Identity) -> bool {
        self.position_of(identity).is_some()
    }

    /// The member at a position of the chain.
    pub fn member_at(&self, position: usize) -> Option<&Member> {
        self.voter_on(self.chain.get(position)?)
    }

    /// The first of the chain, which orders the operations.
    pub fn head(&self) -> Option<&Member> {
        self.member_at(0)
    }

    /// The last of the chain, which commits and answers reads.
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

    /// How many voters make a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether the voters for which `counts` is true make a majority.
    pub(crate) fn is_majority(&self, counts: impl Fn(&Identity) -> bool) -> bool {
        let counted = self
            .voters
            .iter()
            .filter(|voter| counts(&voter.identity))
            .count();
        counted >= self.majority()
    }
}
