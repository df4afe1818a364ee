//! What a core hands back: first what to persist, then what to send, and what is news.

use raft::eraftpb::{ConfState, Entry, Message};
use serde::{Deserialize, Serialize};

use crate::GroupEvent;

/// What a vote rests on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hard {
    pub term: u64,
    pub vote: u64,
    pub commit: u64,
}

/// The voters of a group, in raft's joint form.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Voters {
    pub voters: Vec<u64>,
    pub learners: Vec<u64>,
    pub outgoing: Vec<u64>,
    pub learners_next: Vec<u64>,
    pub auto_leave: bool,
}

impl From<&ConfState> for Voters {
    fn from(conf: &ConfState) -> Self {
        Voters {
            voters: conf.voters.clone(),
            learners: conf.learners.clone(),
            outgoing: conf.voters_outgoing.clone(),
            learners_next: conf.learners_next.clone(),
            auto_leave: conf.auto_leave,
        }
    }
}

impl From<Voters> for ConfState {
    fn from(all: Voters) -> Self {
        let mut conf = ConfState::default();
        conf.set_voters(all.voters);
        conf.set_learners(all.learners);
        conf.set_voters_outgoing(all.outgoing);
        conf.set_learners_next(all.learners_next);
        conf.set_auto_leave(all.auto_leave);
        conf
    }
}

/// A state that stands in place of the log up to `index`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Base {
    pub index: u64,
    pub term: u64,
    pub voters: Voters,
    /// A [`super::stamp::Whole`]; empty in a group that was joined and heard nothing yet.
    pub whole: Vec<u8>,
}

/// To be on the disk, synced, before its number is acknowledged. Numbers of a group are acknowledged in order.
#[derive(Debug)]
pub struct Persist {
    /// Zero: nobody waits for it.
    pub number: u64,
    pub hard: Option<Hard>,
    /// Follow on what is there, or replace its end.
    pub entries: Vec<Entry>,
    /// In place of all that is there. `hard` and `entries` are then whole.
    pub base: Option<Base>,
}

/// Of one call, in the order in which they are to be heeded: the disk is handed `persist`, `send` need not wait
/// for it (what has to wait comes after the acknowledgement).
#[derive(Default)]
pub struct Effects {
    pub persist: Vec<Persist>,
    pub send: Vec<Message>,
    pub news: Vec<GroupEvent>,
}
