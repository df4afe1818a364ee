//! Answers of a voter, in the form in which the proposer counts them.

use plankhill_protocol::ids::Revision;

use crate::acceptor::Ballot;
use crate::message::Message;
use crate::view::{View, ViewNumber};

/// An answer to `Prepare` or `Accept`; see the variants of [`Message`] with the same names.
#[derive(Clone, Debug)]
pub(crate) enum Vote {
    /// Answer to `Prepare`.
    Promise {
        instance: ViewNumber,
        ballot: Ballot,
        accepted: Option<(Ballot, View)>,
        last_revision: Revision,
    },
    /// Answer to `Prepare` or `Accept`: the voter has promised a higher ballot.
    Refuse {
        instance: ViewNumber,
        promised: Ballot,
    },
    /// Answer to `Accept`.
    Accepted {
        instance: ViewNumber,
        ballot: Ballot,
    },
}

impl From<Vote> for Message {
    fn from(vote: Vote) -> Self {
        match vote {
            Vote::Promise {
                instance,
                ballot,
                accepted,
                last_revision,
            } => Self::Promise {
                instance,
                ballot,
                accepted,
                last_revision,
            },
            Vote::Refuse { instance, promised } => Self::Refuse { instance, promised },
            Vote::Accepted { instance, ballot } => Self::Accepted { instance, ballot },
        }
    }
}
