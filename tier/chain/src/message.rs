//! What members say to each other.

use std::sync::Arc;

use plankhill_protocol::ids::Revision;
use serde::{Deserialize, Serialize};

use crate::durable::{Ballot, Entry, RequestNumber, Snapshot};
use crate::view::{Identity, Member, View, ViewNumber};

/// Sent to every contact a few times a second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub member: Member,
    /// Rises by one with each heartbeat of a process; starts at random.
    pub sequence: u64,
    /// Everyone whom the sender hears.
    pub echoes: Vec<Echo>,
    /// The newest view on the sender's disk.
    pub view: ViewNumber,
    /// Whether the sender has promised to help with the next view.
    pub sealed: bool,
    /// The last operation on the sender's disk.
    pub position: Revision,
    /// The last operation that the sender knows to be committed.
    pub committed: Revision,
    /// The chain should go on without the sender: it is about to end, or its disk does not answer.
    pub leaving: bool,
    /// The sender may found the first view.
    pub founder: bool,
    /// For the chain's tail: how long ago, in ms, it is sure that a majority of the voters was in this view.
    pub confirmed_age: Option<u64>,
}

/// The newest heartbeat that was heard from someone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// Who was heard.
    pub identity: Identity,
    /// Its number.
    pub sequence: u64,
}

/// A message between members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The sender lives.
    Heartbeat(Heartbeat),
    /// This view was agreed on.
    Decided(View),
    /// First phase of the agreement on a view.
    Prepare {
        /// The view to agree on.
        instance: ViewNumber,
        /// The attempt.
        ballot: Ballot,
    },
    /// Answer to `Prepare`, on disk at the sender.
    Promise {
        /// The view to agree on.
        instance: ViewNumber,
        /// The attempt.
        ballot: Ballot,
        /// What the sender had accepted before.
        accepted: Option<(Ballot, View)>,
        /// The last operation on the sender's disk. It takes no more in its present view.
        position: Revision,
    },
    /// A later attempt has been promised.
    Refuse {
        /// The view to agree on.
        instance: ViewNumber,
        /// The attempt that was promised.
        promised: Ballot,
    },
    /// Second phase.
    Accept {
        /// The attempt.
        ballot: Ballot,
        /// What is to be accepted.
        view: View,
    },
    /// Answer to `Accept`, on disk at the sender.
    Accepted {
        /// The view to agree on.
        instance: ViewNumber,
        /// The attempt.
        ballot: Ballot,
    },
    /// A proposal, to the head.
    Forward {
        /// The sender's view.
        view: ViewNumber,
        /// The proposal.
        entry: Entry,
    },
    /// Operations, from one link of the chain to the next.
    Append {
        /// The view in which they are passed on.
        view: ViewNumber,
        /// The operation before the first of them.
        previous: Revision,
        /// The operations in order.
        entries: Vec<Entry>,
    },
    /// From the tail: everything up to here is committed.
    Committed {
        /// The tail's view.
        view: ViewNumber,
        /// The last committed operation.
        revision: Revision,
    },
    /// From the tail to the member that proposed.
    Outcome {
        /// The proposal.
        request: RequestNumber,
        /// What it came to.
        outcome: Arc<[u8]>,
    },
    /// A member outside the chain asks for operations.
    Fetch {
        /// Its view.
        view: ViewNumber,
        /// The last one that it has.
        after: Revision,
    },
    /// Answer to `Fetch`.
    Fetched {
        /// The sender's view.
        view: ViewNumber,
        /// The operation before the first of them.
        after: Revision,
        /// The operations in order.
        entries: Vec<Entry>,
        /// What the sender knows to be committed.
        committed: Revision,
    },
    /// Answer to `Fetch` where the operations asked for are not kept any more.
    Install {
        /// The sender's view.
        view: ViewNumber,
        /// The state instead.
        snapshot: Snapshot,
    },
    /// Asks the tail for the newest committed operation.
    Read {
        /// The sender's view.
        view: ViewNumber,
        /// Chosen by the sender.
        read: u64,
    },
    /// Answer to `Read`, after a majority of the voters has confirmed the view.
    ReadAt {
        /// From the question.
        read: u64,
        /// All that had been committed when the question came.
        revision: Revision,
    },
    /// The tail asks the voters whether its view is still theirs.
    Confirm {
        /// The view.
        view: ViewNumber,
        /// Chosen by the tail.
        round: u64,
    },
    /// It is, and the sender has not promised anything for the next one.
    Confirmed {
        /// The view.
        view: ViewNumber,
        /// From the question.
        round: u64,
    },
}
