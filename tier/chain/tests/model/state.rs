//! What a state of the model holds.

use std::collections::BTreeSet;

/// A life of a disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Identity {
    pub machine: u8,
    pub life: u8,
}

/// Who is in the chain.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct View {
    /// 0 for none.
    pub number: u8,
    pub voters: Vec<Identity>,
    /// Machines, head first.
    pub chain: Vec<u8>,
    /// Operations with which every link begins.
    pub base: usize,
}

impl View {
    pub fn votes(&self, identity: Identity) -> bool {
        self.voters.contains(&identity)
    }

    /// The place in the chain of this life of a disk.
    pub fn place(&self, identity: Identity) -> Option<usize> {
        self.chain
            .iter()
            .position(|link| *link == identity.machine)
            .filter(|_| self.votes(identity))
    }

    pub fn is_tail(&self, identity: Identity) -> bool {
        self.place(identity)
            .is_some_and(|place| place + 1 == self.chain.len())
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

/// One machine: what is on its disk, and the little that a crash forgets.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Machine {
    pub life: u8,
    pub view: View,
    pub acceptor: Acceptor,
    pub log: Vec<u8>,
    /// Operations known to be committed.
    pub committed: usize,
    /// The round of its open attempt; forgotten in a crash.
    pub round: u8,
    /// What it has asked for by that attempt; forgotten in a crash.
    pub asked: Option<View>,
}

/// What is under way, and stays so.
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
    /// From a link to the next one.
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
    /// From a machine outside the chain: what it holds.
    Holds {
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
    pub owed: usize,
    pub confirmed: BTreeSet<u8>,
}

/// What must never happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Broken {
    /// Two views of one number.
    TwoViews,
    /// Two views asked for by one ballot, of which two may then be decided.
    BallotUsedTwice,
    /// Two operations at one place.
    TwoOrders,
    /// Something acknowledged is missing in a later view.
    Lost,
    /// Something was acknowledged with too few copies.
    FewCopies,
    /// A read misses what was acknowledged before it.
    OldRead,
}

/// Everything.
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
    pub broken: Option<Broken>,
}
