//! Paxos acceptor: the state of a voter in the agreement on the next view (single-decree Paxos, one
//! decision for each view number).
//!
//! The member owns its acceptor and writes it to disk before it answers; see `member/voting.rs`.

use plankhill_protocol::ids::NodeId;
use serde::{Deserialize, Serialize};

use crate::view::{View, ViewNumber};

/// Ballot number, which orders the attempts to agree on one view.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ballot {
    /// Increases with each attempt.
    pub round: u64,
    /// The member that makes the attempt; two members never use the same ballot.
    pub proposer: NodeId,
}

/// State of a voter in the agreement on the view that follows its current one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acceptor {
    /// Number of the view to agree on.
    pub instance: ViewNumber,
    /// The highest promised ballot; the voter accepts no lower one. A member that has promised a
    /// ballot is sealed: it takes no further operations in its current view.
    pub promised: Option<Ballot>,
    /// The view accepted last, with its ballot.
    pub accepted: Option<(Ballot, View)>,
}

impl Acceptor {
    /// Creates an acceptor that has made no promise.
    pub fn new(instance: ViewNumber) -> Self {
        Self {
            instance,
            promised: None,
            accepted: None,
        }
    }

    /// Returns whether a ballot has been promised, so that the member takes no further operations
    /// in its current view.
    pub(crate) fn is_sealed(&self) -> bool {
        self.promised.is_some()
    }

    /// Round of the promised ballot; 0 if there is none.
    pub(crate) fn promised_round(&self) -> u64 {
        match &self.promised {
            Some(ballot) => ballot.round,
            None => 0,
        }
    }

    /// The promised ballot, if it is higher than the given one.
    pub(crate) fn higher_promise(&self, ballot: &Ballot) -> Option<&Ballot> {
        self.promised.as_ref().filter(|promised| *promised > ballot)
    }

    /// Returns whether the last promise was for exactly this ballot.
    pub(crate) fn has_promised(&self, ballot: &Ballot) -> bool {
        self.promised.as_ref() == Some(ballot)
    }

    /// Returns whether the last accepted view was proposed with exactly this ballot. Only one view
    /// is ever proposed with a ballot.
    pub(crate) fn has_accepted(&self, ballot: &Ballot) -> bool {
        match &self.accepted {
            Some((accepted, _)) => accepted == ballot,
            None => false,
        }
    }

    /// Promises the ballot. The caller has checked that no higher one was promised.
    pub(crate) fn promise(&mut self, ballot: Ballot) {
        self.promised = Some(ballot);
    }

    /// Accepts the view. The caller has checked that no higher ballot was promised.
    pub(crate) fn accept(&mut self, ballot: Ballot, view: View) {
        self.promised = Some(ballot.clone());
        self.accepted = Some((ballot, view));
    }
}
