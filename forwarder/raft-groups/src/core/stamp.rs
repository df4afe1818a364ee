//! What stands beside a command in the log, and what a group's snapshot holds beside its machine's.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Incarnation, Term};

/// Beside each entry that its proposer made. An entry counts only if raft's term of it is this one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stamp {
    Command {
        proposer: Incarnation,
        term: Term,
        number: u64,
    },
    /// Nothing is kept in the group any more.
    Dissolve { term: Term },
    /// A change of voters. Raft's own form of it is never decoded: it is made anew from this.
    Voters { term: Term, changes: Vec<Change> },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    Learner(Incarnation),
    Voter(Incarnation),
    Remove(Incarnation),
}

impl Stamp {
    pub fn bytes(&self) -> Vec<u8> {
        // Writing to memory what derives its form can't fail.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    pub fn read(bytes: &[u8]) -> Option<Stamp> {
        postcard::from_bytes(bytes).ok()
    }
}

/// The last number of each proposer that counted, and the term it had it in. Numbers of one term count in a
/// prefix, so a proposer that gets a snapshot in place of the log learns from it which of its own counted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counted(BTreeMap<Incarnation, (Term, u64)>);

/// The most proposers remembered: those of the oldest terms are forgotten first, long decided.
const PROPOSERS: usize = 64;

impl Counted {
    pub fn note(&mut self, proposer: Incarnation, term: Term, number: u64) {
        self.0.insert(proposer, (term, number));
        if self.0.len() > PROPOSERS {
            let oldest = self
                .0
                .iter()
                .min_by_key(|(_, (term, _))| *term)
                .map(|(who, _)| *who);
            oldest.map(|who| self.0.remove(&who));
        }
    }

    pub fn counts(&self, proposer: Incarnation, term: Term, number: u64) -> bool {
        self.0
            .get(&proposer)
            .is_some_and(|(last, most)| *last > term || (*last == term && number <= *most))
    }
}

/// A group's state as a whole.
#[derive(Serialize, Deserialize)]
pub struct Whole {
    pub counted: Counted,
    pub dissolved: bool,
    pub machine: Vec<u8>,
}
