//! Raft's messages and entries in our own form.

use raft::eraftpb::{self, EntryType, MessageType, Snapshot};
use serde::{Deserialize, Serialize};

use crate::core::effects::Voters;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub change: bool,
    pub term: u64,
    pub index: u64,
    pub data: Vec<u8>,
    pub context: Vec<u8>,
}

/// Only what one voter says to another: proposals and reads are not passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    Append,
    AppendResponse,
    RequestVote,
    RequestVoteResponse,
    Snapshot,
    Heartbeat,
    HeartbeatResponse,
    RequestPreVote,
    RequestPreVoteResponse,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    pub index: u64,
    pub term: u64,
    pub voters: Voters,
    pub data: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    pub kind: Kind,
    pub to: u64,
    pub from: u64,
    pub term: u64,
    pub log_term: u64,
    pub index: u64,
    pub entries: Vec<Entry>,
    pub commit: u64,
    pub commit_term: u64,
    pub snapshot: Option<State>,
    pub request_snapshot: u64,
    pub reject: bool,
    pub reject_hint: u64,
    pub context: Vec<u8>,
    pub priority: i64,
}

const KINDS: [(Kind, MessageType); 9] = [
    (Kind::Append, MessageType::MsgAppend),
    (Kind::AppendResponse, MessageType::MsgAppendResponse),
    (Kind::RequestVote, MessageType::MsgRequestVote),
    (
        Kind::RequestVoteResponse,
        MessageType::MsgRequestVoteResponse,
    ),
    (Kind::Snapshot, MessageType::MsgSnapshot),
    (Kind::Heartbeat, MessageType::MsgHeartbeat),
    (Kind::HeartbeatResponse, MessageType::MsgHeartbeatResponse),
    (Kind::RequestPreVote, MessageType::MsgRequestPreVote),
    (
        Kind::RequestPreVoteResponse,
        MessageType::MsgRequestPreVoteResponse,
    ),
];

impl From<&eraftpb::Entry> for Entry {
    fn from(entry: &eraftpb::Entry) -> Self {
        Entry {
            change: entry.get_entry_type() != EntryType::EntryNormal,
            term: entry.term,
            index: entry.index,
            data: entry.data.to_vec(),
            context: entry.context.to_vec(),
        }
    }
}

impl From<Entry> for eraftpb::Entry {
    fn from(entry: Entry) -> Self {
        let mut raft = eraftpb::Entry::default();
        if entry.change {
            raft.set_entry_type(EntryType::EntryConfChangeV2);
        }
        raft.term = entry.term;
        raft.index = entry.index;
        raft.data = entry.data.into();
        raft.context = entry.context.into();
        raft
    }
}

impl Message {
    /// None for kinds that are not said to others.
    pub fn of(raft: &eraftpb::Message) -> Option<Message> {
        let kind = KINDS
            .iter()
            .find(|(_, kind)| *kind == raft.get_msg_type())?
            .0;
        let snapshot = (kind == Kind::Snapshot).then(|| {
            let snapshot = raft.get_snapshot();
            let meta = snapshot.get_metadata();
            let voters = meta.get_conf_state().into();
            State {
                index: meta.index,
                term: meta.term,
                voters,
                data: snapshot.data.to_vec(),
            }
        });
        Some(Message {
            kind,
            to: raft.to,
            from: raft.from,
            term: raft.term,
            log_term: raft.log_term,
            index: raft.index,
            entries: raft.entries.iter().map(Entry::from).collect(),
            commit: raft.commit,
            commit_term: raft.commit_term,
            snapshot,
            request_snapshot: raft.request_snapshot,
            reject: raft.reject,
            reject_hint: raft.reject_hint,
            context: raft.context.to_vec(),
            priority: raft.priority,
        })
    }

    /// None where its parts contradict each other: raft would end in a panic over some of them.
    pub fn into_raft(self) -> Option<eraftpb::Message> {
        let follows =
            |(at, e): (usize, &Entry)| Some(e.index) == self.index.checked_add(1 + at as u64);
        if !self.entries.iter().enumerate().all(follows) || self.term == 0 || self.from == 0 {
            return None;
        }
        if (self.kind == Kind::Snapshot) != self.snapshot.is_some() {
            return None;
        }
        let mut raft = eraftpb::Message::default();
        raft.set_msg_type(KINDS.iter().find(|(kind, _)| *kind == self.kind)?.1);
        raft.to = self.to;
        raft.from = self.from;
        raft.term = self.term;
        raft.log_term = self.log_term;
        raft.index = self.index;
        raft.set_entries(
            self.entries
                .into_iter()
                .map(Into::into)
                .collect::<Vec<_>>()
                .into(),
        );
        raft.commit = self.commit;
        raft.commit_term = self.commit_term;
        if let Some(state) = self.snapshot {
            let mut snapshot = Snapshot {
                data: state.data.into(),
                ..Snapshot::default()
            };
            let meta = snapshot.mut_metadata();
            meta.index = state.index;
            meta.term = state.term;
            meta.set_conf_state(state.voters.into());
            raft.set_snapshot(snapshot);
        }
        raft.request_snapshot = self.request_snapshot;
        raft.reject = self.reject;
        raft.reject_hint = self.reject_hint;
        raft.context = self.context.into();
        raft.priority = self.priority;
        Some(raft)
    }
}
