//! What a replica hands back to the groups' thread: what to write, what to send, and what the event loop has to
//! know.

use raft::eraftpb::{ConfState, Entry, Message};
use serde::{Deserialize, Serialize};

use crate::GroupEvent;

/// What a vote rests on (Raft, figure 2: persistent state), and what is known as committed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The newest term that the replica has seen.
    pub term: u64,
    /// Whom it voted for in that term; zero: nobody.
    pub vote: u64,
    /// The index of the last entry that it knows as committed.
    pub commit: u64,
}

/// The members of a group in raft's joint form (Raft, section 6): incarnations.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Those that vote.
    pub voters: Vec<u64>,
    /// Those that receive the log and do not vote.
    pub learners: Vec<u64>,
    /// The voters before a joint change that is under way.
    pub outgoing_voters: Vec<u64>,
    /// Voters that become learners once the joint change is done.
    pub next_learners: Vec<u64>,
    /// Whether raft leaves the joint state by itself.
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

/// A state that stands in place of the log up to `index`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotBase {
    /// The index of the last entry that the state has; zero: there is no state.
    pub index: u64,
    /// That entry's term.
    pub term: u64,
    /// The group's members as of that entry.
    pub members: Membership,
    /// An encoded [`super::entry_context::GroupState`]; empty in a group that was joined and has received nothing.
    pub state: Vec<u8>,
}

/// To be on the disk, synced, before its number is acknowledged. A group's numbers are acknowledged in order.
#[derive(Debug)]
pub struct PersistRequest {
    /// Zero: nothing waits for it.
    pub number: u64,
    /// `None`: as before.
    pub hard_state: Option<HardState>,
    /// Follow the entries on the disk, or replace their end.
    pub entries: Vec<Entry>,
    /// Replaces all that is on the disk; `hard_state` and `entries` are then complete.
    pub base: Option<SnapshotBase>,
}

/// What one call made.
///
/// The caller hands `persist` to the disk before it sends `messages`, which need not wait for the disk: a message
/// that has to wait is handed out after the acknowledgement.
#[derive(Default)]
pub struct Effects {
    /// To be written, in order.
    pub persist: Vec<PersistRequest>,
    /// To be sent, in order.
    pub messages: Vec<Message>,
    /// To be handed to the event loop, in order.
    pub events: Vec<GroupEvent>,
}
