//! The state of the model.

use std::collections::BTreeSet;

/// One incarnation of a disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Identity {
    pub machine: u8,
    pub incarnation: u8,
}

/// Who is in the chain.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct View {
    /// 0 for none.
    pub number: u8,
    pub voters: Vec<Identity>,
    /// Machines, head first.
    pub chain: Vec<u8>,
    /// Operations with which every member of the chain begins.
    pub base: usize,
}

impl View {
    pub fn votes(&self, identity: Identity) -> bool {
        self.voters.contains(&identity)
    }

    /// The position in the chain of this incarnation of a disk.
    pub fn position(&self, identity: Identity) -> Option<usize> {
        self.chain
            .iter()
            .position(|member| *member == identity.machine)
            .filter(|_| self.votes(identity))
    }

    pub fn is_tail(&self, identity: Identity) -> bool {
        self.position(identity)
            .is_some_and(|position| position + 1 == self.chain.len())
    }

    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ballot {
    pub round: u8,
    pub proposer: u8,
}

/// A voter's part in the agreement on the view after its present one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Acceptor {
    pub promised: Option<Ballot>,
    pub accepted: Option<(Ballot, View)>,
}

/// One machine: its disk, and the little that a crash forgets.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Machine {
    pub incarnation: u8,
    pub view: View,
    pub acceptor: Acceptor,
    pub log: Vec<u8>,
    /// Operations known to be committed.
    pub committed: usize,
    /// The round of its open attempt; forgotten in a crash.
    pub round: u8,
    /// The view that it has proposed by that attempt; forgotten in a crash.
    pub proposed_view: Option<View>,
}

/// A message that was sent; it stays in the network.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    Prepare {
        instance: u8,
        ballot: Ballot,
        from: Identity,
    },
    Promise {
        instance: u8,
        ballot: Ballot,
        from: Identity,
        accepted: Option<(Ballot, View)>,
        position: usize,
    },
    Accept {
        ballot: Ballot,
        view: View,
        from: Identity,
    },
    Accepted {
        instance: u8,
        ballot: Ballot,
        from: Identity,
    },
    Decided(View),
    /// From a member of the chain to its successor.
    Append {
        view: u8,
        from: Identity,
        previous: usize,
        operation: u8,
    },
    Committed {
        view: u8,
        revision: usize,
    },
    /// From a machine outside the chain: the operations that it has.
    Reported {
        from: Identity,
        view: u8,
        position: usize,
    },
}

/// An operation that was acknowledged, or that somebody may have read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Commit {
    pub view: u8,
    pub position: usize,
    pub operation: u8,
}

/// A read that the tail answers once a majority has confirmed its view.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Read {
    pub tail: Identity,
    pub view: u8,
    /// What the tail knew to be committed when it came, which is the answer.
    pub revision: usize,
    /// What had been acknowledged anywhere when it came.
    pub acknowledged: usize,
    pub confirmed: BTreeSet<u8>,
}

/// The invariant that a state violates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Violation {
    /// Two views of one number.
    ConflictingViews,
    /// Two views proposed by one ballot, of which two may then be decided.
    BallotUsedTwice,
    /// Two operations at one position.
    ConflictingOrders,
    /// Something acknowledged is missing in a later view.
    Lost,
    /// Something was acknowledged with too few replicas.
    TooFewReplicas,
    /// A read misses what was acknowledged before it.
    StaleRead,
}

/// The complete state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    pub machines: Vec<Machine>,
    pub network: BTreeSet<Message>,
    pub commits: BTreeSet<Commit>,
    pub decided: BTreeSet<View>,
    pub read: Option<Read>,
    pub operations: u8,
    pub attempts: u8,
    pub wipes: u8,
    pub crashes: u8,
    pub reads: u8,
    pub violation: Option<Violation>,
}
