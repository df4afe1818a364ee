//! What stands beside a command in the log, and what a group's snapshot holds beside its state machine's. The order
//! of variants and fields is the form on the wire and on disk.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Incarnation, Term};

/// Beside each entry that a leader of this package proposed. The entry takes effect only if raft's term of it is the
/// context's: raft may append a proposal to a later term's log than the one it was made in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryContext {
    /// A command for the state machine.
    Command {
        /// Who proposed it.
        proposer: Incarnation,
        /// The term in which it was proposed.
        term: Term,
        /// The proposer's number of it.
        number: u64,
    },
    /// Nothing of the group is kept any more.
    Dissolve {
        /// The term in which it was proposed.
        term: Term,
    },
    /// A change of members. Raft's own form of the change is never decoded: it is made again from this one.
    Members {
        /// The term in which it was proposed.
        term: Term,
        /// Made together, in one joint change.
        changes: Vec<MembershipChange>,
    },
}

/// One change of a group's members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipChange {
    /// Adds one that receives the log and does not vote.
    AddLearner(Incarnation),
    /// Adds a voter, or makes a learner one.
    AddVoter(Incarnation),
    /// Removes a voter or learner.
    Remove(Incarnation),
}

impl EntryContext {
    /// The context's form in an entry.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("writing a derived form to memory does not fail")
    }

    /// `None` where the bytes are no context.
    pub fn from_bytes(bytes: &[u8]) -> Option<EntryContext> {
        postcard::from_bytes(bytes).ok()
    }
}

/// Each proposer's last committed number, and the term in which it proposed that. The numbers of one term are
/// committed in a prefix, so a proposer that receives a snapshot in place of the log learns from it which of its own
/// proposals were committed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommittedProposals(BTreeMap<Incarnation, LastCommitted>);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct LastCommitted {
    term: Term,
    number: u64,
}

/// Proposers that are remembered: the one of the oldest term is forgotten first, whose proposals were decided long
/// before.
const MAX_PROPOSERS: usize = 64;

impl CommittedProposals {
    /// The proposal was committed.
    pub fn record(&mut self, proposer: Incarnation, term: Term, number: u64) {
        self.0.insert(proposer, LastCommitted { term, number });
        if self.0.len() > MAX_PROPOSERS {
            let oldest = self
                .0
                .iter()
                .min_by_key(|(_, last)| last.term)
                .map(|(proposer, _)| *proposer);
            if let Some(oldest) = oldest {
                self.0.remove(&oldest);
            }
        }
    }

    /// Whether the proposal was committed, as far as this state goes.
    pub fn is_committed(&self, proposer: Incarnation, term: Term, number: u64) -> bool {
        match self.0.get(&proposer) {
            Some(last) => last.term > term || (last.term == term && number <= last.number),
            None => false,
        }
    }
}

/// A group's whole state.
#[derive(Default, Serialize, Deserialize)]
pub struct GroupState {
    /// Which proposals are in it.
    pub committed: CommittedProposals,
    /// Whether the group is dissolved.
    pub is_dissolved: bool,
    /// The state machine's snapshot.
    pub state_machine: Vec<u8>,
}

impl GroupState {
    /// The state's form in a snapshot.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("writing a derived form to memory does not fail")
    }

    /// `None` where the bytes are no group's state.
    pub fn from_bytes(bytes: &[u8]) -> Option<GroupState> {
        postcard::from_bytes(bytes).ok()
    }
}
