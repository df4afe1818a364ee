//! Messages between members. The order of variants and fields is the wire format
//! (`tests/wire_format`).

use std::sync::Arc;

use plankhill_protocol::appended_field::none_where_missing;
use plankhill_protocol::ids::Revision;
use serde::{Deserialize, Serialize};

use crate::acceptor::Ballot;
use crate::entry::{Entry, RequestNumber};
use crate::storage::Snapshot;
use crate::view::{Identity, Member, View, ViewNumber};

/// Status of a member, sent to every contact a few times a second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub member: Member,
    /// Sequence number. Increases by one with each heartbeat of a process, from a random start.
    pub sequence: u64,
    /// The newest heartbeat of each member from which the sender has recently received one.
    pub echoes: Vec<Echo>,
    /// The newest view on the sender's disk.
    pub view: ViewNumber,
    /// Whether the sender takes no further operations in `view`: it has promised a ballot for the
    /// next view, or a later view is not on its disk yet.
    pub sealed: bool,
    /// Revision of the last operation on the sender's disk.
    pub last_revision: Revision,
    /// Revision of the last operation that is known to be committed.
    pub committed: Revision,
    /// Requests a chain without the sender: the sender is about to terminate, its disk does not
    /// respond, or heartbeats of a majority of the voters do not reach it.
    pub leaving: bool,
    /// Whether the sender is one of the founders, which may establish the first view.
    pub founder: bool,
    /// Set by the tail of the chain: time in ms since a majority of the voters was confirmed to be
    /// in this view.
    pub confirmed_age_ms: Option<u64>,
    /// Typical duration of a sync of the sender's disk, in ms; `None` before the first sync.
    /// Members of versions without this field do not send it and decode a heartbeat only up to the
    /// previous field.
    #[serde(deserialize_with = "none_where_missing")]
    pub sync_ms: Option<u64>,
}

impl Heartbeat {
    /// Returns whether the sender has recently received a heartbeat of this member.
    pub(crate) fn echoes_identity(&self, identity: &Identity) -> bool {
        self.echo_of(identity).is_some()
    }

    /// The echo of this member's newest heartbeat.
    pub(crate) fn echo_of(&self, identity: &Identity) -> Option<&Echo> {
        self.echoes.iter().find(|echo| echo.identity == *identity)
    }
}

/// Acknowledges the newest heartbeat that was received from one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The member that sent the heartbeat.
    pub identity: Identity,
    /// Sequence number of the heartbeat.
    pub sequence: u64,
}

/// A message between members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Periodic status of the sender.
    Heartbeat(Heartbeat),
    /// The view that was agreed on.
    Decided(View),
    /// First phase of the agreement on a view.
    Prepare {
        /// Number of the view to agree on.
        instance: ViewNumber,
        /// Ballot of the attempt.
        ballot: Ballot,
    },
    /// Answer to `Prepare`, on disk at the sender.
    Promise {
        /// Number of the view to agree on.
        instance: ViewNumber,
        /// Ballot of the attempt.
        ballot: Ballot,
        /// The view that the sender accepted last before this promise, with its ballot.
        accepted: Option<(Ballot, View)>,
        /// Revision of the last operation in the sender's log. The sender takes no further
        /// operations in its current view.
        last_revision: Revision,
    },
    /// Answer to `Prepare` or `Accept`: the sender has promised a higher ballot.
    Refuse {
        /// Number of the view to agree on.
        instance: ViewNumber,
        /// The promised ballot.
        promised: Ballot,
    },
    /// Second phase of the agreement on a view.
    Accept {
        /// Ballot of the attempt.
        ballot: Ballot,
        /// The proposed view.
        view: View,
    },
    /// Answer to `Accept`, on disk at the sender.
    Accepted {
        /// Number of the view to agree on.
        instance: ViewNumber,
        /// Ballot of the attempt.
        ballot: Ballot,
    },
    /// A proposal for the head to order.
    Forward {
        /// The sender's view.
        view: ViewNumber,
        /// The proposal.
        entry: Entry,
    },
    /// Operations, from one chain member to its successor.
    Append {
        /// The view in which the operations are replicated.
        view: ViewNumber,
        /// Revision before the first of the operations.
        previous: Revision,
        /// The operations in order.
        entries: Vec<Entry>,
    },
    /// All operations up to this revision are committed.
    Committed {
        /// The view in which the operations were committed.
        view: ViewNumber,
        /// Revision of the last committed operation.
        revision: Revision,
    },
    /// Reports to the proposing member that its proposal was committed.
    Outcome {
        /// The proposal.
        request: RequestNumber,
        /// The outcome returned by the state machine.
        outcome: Arc<[u8]>,
    },
    /// Request of a member outside the chain for operations.
    Fetch {
        /// The sender's view.
        view: ViewNumber,
        /// Revision of the last operation in the sender's log.
        after: Revision,
    },
    /// Answer to `Fetch`.
    Fetched {
        /// The sender's view.
        view: ViewNumber,
        /// Revision before the first of the operations.
        after: Revision,
        /// The operations in order.
        entries: Vec<Entry>,
        /// Revision of the last operation that is known to be committed.
        committed: Revision,
    },
    /// Answer to `Fetch` if a snapshot has replaced the requested operations.
    Install {
        /// The sender's view.
        view: ViewNumber,
        /// The newest snapshot of the sender.
        snapshot: Snapshot,
    },
    /// Asks the tail for the revision of the newest committed operation.
    Read {
        /// The sender's view.
        view: ViewNumber,
        /// Identifies the read; assigned by the sender.
        read_id: u64,
    },
    /// Answer to `Read`, after a majority of the voters has confirmed the view.
    ReadAt {
        /// Identifier from the `Read` message.
        read_id: u64,
        /// A revision that includes every operation committed before the tail received the read.
        revision: Revision,
    },
    /// Request of the tail to the voters to confirm that the tail's view is still current.
    Confirm {
        /// The tail's view.
        view: ViewNumber,
        /// Identifies the confirmation; assigned by the tail.
        confirmation_id: u64,
    },
    /// Answer to `Confirm`: the sender is in this view and has promised no ballot for the next one.
    Confirmed {
        /// The confirmed view.
        view: ViewNumber,
        /// Identifier from the `Confirm` message.
        confirmation_id: u64,
    },
}
