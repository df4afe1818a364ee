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
    /// The number of the view that follows this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// One life of a machine's disk. A machine whose disk was lost comes back as another identity.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// The machine.
    pub node: NodeId,
    /// The life of its disk.
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
    /// Its number.
    pub number: ViewNumber,
    /// Who votes on the next view. Sorted by machine.
    pub voters: Vec<Member>,
    /// Who is in service, head first; all of them voters.
    pub chain: Vec<NodeId>,
    /// Every member of the chain holds exactly the operations up to here when the view begins; all of them
    /// are committed, and everything committed in former views is among them.
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

    /// Place in the chain, 0 for the head.
    pub fn place(&self, identity: &Identity) -> Option<usize> {
        self.voter(identity)?;
        self.chain.iter().position(|node| *node == identity.node)
    }

    /// Whether this identity is in service.
    pub fn in_chain(&self, identity: &Identity) -> bool {
        self.place(identity).is_some()
    }

    /// The member at a place of the chain.
    pub fn link(&self, place: usize) -> Option<&Member> {
        self.voter_on(self.chain.get(place)?)
    }

    /// The first of the chain, which orders the operations.
    pub fn head(&self) -> Option<&Member> {
        self.link(0)
    }

    /// The last of the chain, which commits and answers.
    pub fn tail(&self) -> Option<&Member> {
        self.link(self.chain.len().checked_sub(1)?)
    }

    /// The members of the chain in order.
    pub fn links(&self) -> impl Iterator<Item = &Member> {
        self.chain.iter().filter_map(|node| self.voter_on(node))
    }

    /// How many voters make a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }
}
