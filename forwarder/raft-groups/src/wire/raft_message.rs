//! This package's own representation of raft's messages and entries. The order of variants and fields is part of the
//! wire format and of the disk format.

use raft::eraftpb::{self, EntryType, MessageType};
use serde::{Deserialize, Serialize};

use crate::replica::effects::Membership;

/// An entry of a group's log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Whether the entry changes the group's members.
    pub is_membership_change: bool,
    /// The term of the entry.
    pub term: u64,
    /// The index of the entry in the log.
    pub index: u64,
    /// The command.
    pub data: Vec<u8>,
    /// The metadata of the command: an [`crate::replica::entry_context::EntryContext`].
    pub context: Vec<u8>,
}

/// The message kinds that replicas send to each other. Proposals and reads are not forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[allow(
    missing_docs,
    reason = "Raft's own names: Ongaro and Ousterhout 2014, and raft-rs's MessageType"
)]
pub enum MessageKind {
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

/// The state of a group up to an index of its log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The index of the last entry included in the state.
    pub index: u64,
    /// The term of that entry.
    pub term: u64,
    /// The members of the group as of that entry.
    pub members: Membership,
    /// An encoded [`crate::replica::entry_context::GroupState`].
    pub data: Vec<u8>,
}

/// A message between two replicas of a group; the fields are those of raft-rs (`eraftpb.proto`).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[allow(missing_docs, reason = "raft's own names")]
pub struct RaftMessage {
    pub kind: MessageKind,
    pub to: u64,
    pub from: u64,
    pub term: u64,
    pub log_term: u64,
    pub index: u64,
    pub entries: Vec<Entry>,
    pub commit: u64,
    pub commit_term: u64,
    pub snapshot: Option<Snapshot>,
    pub request_snapshot: u64,
    pub reject: bool,
    pub reject_hint: u64,
    pub context: Vec<u8>,
    pub priority: i64,
}

impl MessageKind {
    /// Returns `None` for kinds that are not sent to other instances.
    fn from_raft(kind: MessageType) -> Option<MessageKind> {
        match kind {
            MessageType::MsgAppend => Some(MessageKind::Append),
            MessageType::MsgAppendResponse => Some(MessageKind::AppendResponse),
            MessageType::MsgRequestVote => Some(MessageKind::RequestVote),
            MessageType::MsgRequestVoteResponse => Some(MessageKind::RequestVoteResponse),
            MessageType::MsgSnapshot => Some(MessageKind::Snapshot),
            MessageType::MsgHeartbeat => Some(MessageKind::Heartbeat),
            MessageType::MsgHeartbeatResponse => Some(MessageKind::HeartbeatResponse),
            MessageType::MsgRequestPreVote => Some(MessageKind::RequestPreVote),
            MessageType::MsgRequestPreVoteResponse => Some(MessageKind::RequestPreVoteResponse),
            _ => None,
        }
    }

    fn into_raft(self) -> MessageType {
        match self {
            MessageKind::Append => MessageType::MsgAppend,
            MessageKind::AppendResponse => MessageType::MsgAppendResponse,
            MessageKind::RequestVote => MessageType::MsgRequestVote,
            MessageKind::RequestVoteResponse => MessageType::MsgRequestVoteResponse,
            MessageKind::Snapshot => MessageType::MsgSnapshot,
            MessageKind::Heartbeat => MessageType::MsgHeartbeat,
            MessageKind::HeartbeatResponse => MessageType::MsgHeartbeatResponse,
            MessageKind::RequestPreVote => MessageType::MsgRequestPreVote,
            MessageKind::RequestPreVoteResponse => MessageType::MsgRequestPreVoteResponse,
        }
    }
}

impl From<&eraftpb::Entry> for Entry {
    fn from(entry: &eraftpb::Entry) -> Self {
        Entry {
            is_membership_change: entry.get_entry_type() != EntryType::EntryNormal,
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
        if entry.is_membership_change {
            raft.set_entry_type(EntryType::EntryConfChangeV2);
        }
        raft.term = entry.term;
        raft.index = entry.index;
        raft.data = entry.data.into();
        raft.context = entry.context.into();
        raft
    }
}

impl From<&eraftpb::Snapshot> for Snapshot {
    fn from(snapshot: &eraftpb::Snapshot) -> Self {
        let metadata = snapshot.get_metadata();
        Snapshot {
            index: metadata.index,
            term: metadata.term,
            members: metadata.get_conf_state().into(),
            data: snapshot.data.to_vec(),
        }
    }
}

impl From<Snapshot> for eraftpb::Snapshot {
    fn from(snapshot: Snapshot) -> Self {
        let mut raft = eraftpb::Snapshot {
            data: snapshot.data.into(),
            ..eraftpb::Snapshot::default()
        };
        let metadata = raft.mut_metadata();
        metadata.index = snapshot.index;
        metadata.term = snapshot.term;
        metadata.set_conf_state(snapshot.members.into());
        raft
    }
}

impl RaftMessage {
    /// Returns `None` for kinds that are not sent to other instances.
    pub fn from_raft(raft: &eraftpb::Message) -> Option<RaftMessage> {
        let kind = MessageKind::from_raft(raft.get_msg_type())?;
        let snapshot = match kind {
            MessageKind::Snapshot => Some(raft.get_snapshot().into()),
            _ => None,
        };
        Some(RaftMessage {
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

    /// Returns `None` if the fields contradict each other: raft would panic on some contradictions.
    pub fn into_raft(self) -> Option<eraftpb::Message> {
        if !self.are_entries_consecutive() || self.term == 0 || self.from == 0 {
            return None;
        }
        if (self.kind == MessageKind::Snapshot) != self.snapshot.is_some() {
            return None;
        }
        let mut raft = eraftpb::Message::default();
        raft.set_msg_type(self.kind.into_raft());
        raft.to = self.to;
        raft.from = self.from;
        raft.term = self.term;
        raft.log_term = self.log_term;
        raft.index = self.index;
        raft.set_entries(
            self.entries
                .into_iter()
                .map(eraftpb::Entry::from)
                .collect::<Vec<_>>()
                .into(),
        );
        raft.commit = self.commit;
        raft.commit_term = self.commit_term;
        if let Some(snapshot) = self.snapshot {
            raft.set_snapshot(snapshot.into());
        }
        raft.request_snapshot = self.request_snapshot;
        raft.reject = self.reject;
        raft.reject_hint = self.reject_hint;
        raft.context = self.context.into();
        raft.priority = self.priority;
        Some(raft)
    }

    fn are_entries_consecutive(&self) -> bool {
        self.entries.iter().enumerate().all(|(place, entry)| {
            let expected = self.index.checked_add(1 + place as u64);
            Some(entry.index) == expected
        })
    }
}
