//! The output of a replica for the groups thread: data to write, messages to send, and events for the event loop.

use raft::eraftpb::{ConfState, Entry, Message};
use serde::{Deserialize, Serialize};

use crate::GroupEvent;

/// The state that a vote depends on (Raft, figure 2: persistent state), and the commit index.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term that the replica has seen.
    pub term: u64,
    /// The candidate that the replica voted for in that term; zero: none.
    pub vote: u64,
    /// The index of the last entry known to be committed.
    pub commit: u64,
}

/// The members of a group in raft's joint representation (Raft, section 6), as incarnations.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// The members that vote.
    pub voters: Vec<u64>,
    /// The members that receive the log and do not vote.
    pub learners: Vec<u64>,
    /// The voters before a joint change that is in progress.
    pub outgoing_voters: Vec<u64>,
    /// The voters that become learners at the end of the joint change.
    pub next_learners: Vec<u64>,
    /// Whether raft leaves the joint state automatically.
    pub auto_leave: bool,
}

impl From<&ConfState> for Membership {
    fn from(conf: &ConfState) -> Self {
        Membership {
            voters: conf.voters.clone(),
            learners: conf.learners.clone(),
            outgoing_voters: conf.voters_outgoing.clone(),
            next_learners: conf.learners_next.clone(),
            auto_leave: conf.auto_leave,
        }
    }
}

impl From<Membership> for ConfState {
    fn from(members: Membership) -> Self {
        let mut conf = ConfState::default();
        conf.set_voters(members.voters);
        conf.set_learners(members.learners);
        conf.set_voters_outgoing(members.outgoing_voters);
        conf.set_learners_next(members.next_learners);
        conf.set_auto_leave(members.auto_leave);
        conf
    }
}

/// A state that replaces the log up to `index`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotBase {
    /// The index of the last entry included in the state; zero: there is no state.
    pub index: u64,
    /// The term of that entry.
    pub term: u64,
    /// The members of the group as of that entry.
    pub members: Membership,
    /// An encoded [`super::entry_context::GroupState`]; empty in a group that this instance joined without having
    /// received anything yet.
    pub state: Vec<u8>,
}

/// Data that must be synced to disk before its number is acknowledged. The numbers of a group are acknowledged in
/// order.
#[derive(Debug)]
pub struct PersistRequest {
    /// The number to acknowledge; zero: nothing waits for the request.
    pub number: u64,
    /// The new hard state; `None`: unchanged.
    pub hard_state: Option<HardState>,
    /// Entries that follow the entries on disk or replace their tail.
    pub entries: Vec<Entry>,
    /// Replaces all data on disk; `hard_state` and `entries` are then complete.
    pub base: Option<SnapshotBase>,
}

/// The effects of one call.
///
/// The caller passes `persist` to the disk thread before it sends `messages`, but does not wait for the disk: a message
/// that must wait is returned only after the acknowledgement.
#[derive(Default)]
pub struct Effects {
    /// Requests to write, in order.
    pub persist: Vec<PersistRequest>,
    /// Messages to send, in order.
    pub messages: Vec<Message>,
    /// Events for the event loop, in order.
    pub events: Vec<GroupEvent>,
}
