//! The metadata of commands in the log, and the complete state in a group's snapshot. The order of variants and fields
//! is part of the wire format and of the disk format.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Incarnation, Term};

/// The metadata of each entry proposed by a leader of this package. The entry takes effect only if its raft term equals
/// the term in the context: raft may append a proposal in a later term than the one in which it was made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryContext {
    /// A command for the state machine.
    Command {
        /// The incarnation that proposed the command.
        proposer: Incarnation,
        /// The term in which it was proposed.
        term: Term,
        /// The proposer's number of the command.
        number: u64,
    },
    /// Dissolves the group: its data is no longer needed.
    Dissolve {
        /// The term in which it was proposed.
        term: Term,
    },
    /// A membership change. Raft's own encoding of the change is never decoded: the change is rebuilt from this one.
    Members {
        /// The term in which it was proposed.
        term: Term,
        /// The changes, applied together in one joint change.
        changes: Vec<MembershipChange>,
    },
}

/// One change of a group's membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipChange {
    /// Adds a member that receives the log and does not vote.
    AddLearner(Incarnation),
    /// Adds a voter, or promotes a learner to a voter.
    AddVoter(Incarnation),
    /// Removes a voter or learner.
    Remove(Incarnation),
}

impl EntryContext {
    /// Encodes the context for an entry.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("writing a derived form to memory does not fail")
    }

    /// Decodes a context; returns `None` if the bytes are invalid.
    pub fn from_bytes(bytes: &[u8]) -> Option<EntryContext> {
        postcard::from_bytes(bytes).ok()
    }
}

/// The last committed number of each proposer, and the term in which that proposal was made. The committed proposals of
/// one term are a prefix of its numbers. Therefore a proposer that receives a snapshot instead of the log can determine
/// which of its own proposals were committed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommittedProposals(BTreeMap<Incarnation, LastCommitted>);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct LastCommitted {
    term: Term,
    number: u64,
}

/// The maximum number of proposers stored. The proposer with the oldest term is evicted first; its proposals were
/// decided long ago.
const MAX_PROPOSERS: usize = 64;

impl CommittedProposals {
    /// Records a committed proposal.
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

    /// Whether the proposal was committed, according to this state.
    pub fn is_committed(&self, proposer: Incarnation, term: Term, number: u64) -> bool {
        match self.0.get(&proposer) {
            Some(last) => last.term > term || (last.term == term && number <= last.number),
            None => false,
        }
    }
}

/// The complete state of a group.
#[derive(Default, Serialize, Deserialize)]
pub struct GroupState {
    /// The committed proposals that the state includes.
    pub committed: CommittedProposals,
    /// Whether the group is dissolved.
    pub is_dissolved: bool,
    /// The state machine's snapshot.
    pub state_machine: Vec<u8>,
}

impl GroupState {
    /// Encodes the state for a snapshot.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("writing a derived form to memory does not fail")
    }

    /// Decodes a state; returns `None` if the bytes are invalid.
    pub fn from_bytes(bytes: &[u8]) -> Option<GroupState> {
        postcard::from_bytes(bytes).ok()
    }
}
