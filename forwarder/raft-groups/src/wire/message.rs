//! The bodies of frames. A link begins with a [`Hello`] and its [`HelloReply`]; [`PeerMessage`]s follow from the
//! caller. The order of variants and fields is the wire's form.

use serde::{Deserialize, Serialize};

use super::raft_message::RaftMessage;
use crate::{GroupId, Incarnation, InstanceName, Purpose};

/// The version of what is sent over links. Both sides have to have the same.
pub const PROTOCOL_VERSION: u32 = 1;

/// The longest body of a link's first frame, in bytes: its sender is not known yet.
pub const MAX_HELLO_LEN: usize = 4096;

/// Who calls, and from which start of which folder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The caller's [`PROTOCOL_VERSION`].
    pub version: u32,
    /// The name of the caller's fleet.
    pub fleet: String,
    /// The caller's name.
    pub name: InstanceName,
    /// The instance that the caller believes to have reached.
    pub to: InstanceName,
    /// The caller's incarnation.
    pub incarnation: Incarnation,
    /// The caller's start.
    pub start: Start,
    /// The control group that the caller knows of.
    pub control: Option<GroupId>,
}

/// One start of a process on its folder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// Grows by one with each start on the folder.
    pub generation: u64,
    /// Drawn at random for each start: two starts of the same generation are of two copies of the folder.
    pub nonce: u64,
}

/// The reply to a [`Hello`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HelloReply {
    /// The caller is heard from now on.
    Welcome(Hello),
    /// The caller's folder is an older copy: a later start of the same incarnation is known here.
    StaleFolder {
        /// The generation of that later start.
        known_generation: u64,
    },
}

/// A part of a snapshot on its way to a replica that is far behind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// On the first chunk: the message that carries the snapshot, without its data.
    pub message: Option<RaftMessage>,
    /// The chunk's offset in the data, in bytes.
    pub offset: u64,
    /// The length of all the data, in bytes.
    pub total: u64,
    /// The chunk's data.
    pub bytes: Vec<u8>,
}

/// What an instance sends to another one that welcomed it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The link lives.
    Heartbeat {
        /// How many bytes more the sender has capacity for.
        free_bytes: u64,
        /// The control group that the sender knows of.
        control: Option<GroupId>,
    },
    /// A message between two replicas of a group.
    Raft {
        /// The group.
        group: GroupId,
        /// The message.
        message: RaftMessage,
    },
    /// A part of a snapshot.
    SnapshotChunk {
        /// The group.
        group: GroupId,
        /// The part.
        chunk: SnapshotChunk,
    },
    /// The data of a snapshot has arrived up to this offset.
    ChunkReceived {
        /// The group.
        group: GroupId,
        /// In bytes.
        offset: u64,
    },
    /// From a group's founder, to each instance that it chose for a voter.
    FoundGroup {
        /// The new group.
        group: GroupId,
        /// What the group is for.
        purpose: Purpose,
        /// Its first voters.
        voters: Vec<Incarnation>,
    },
    /// To an instance that is to become a learner.
    JoinGroup {
        /// The group.
        group: GroupId,
        /// What the group is for.
        purpose: Purpose,
    },
    /// From a group's leader: the receiver is no member any more.
    NotMember {
        /// The group.
        group: GroupId,
    },
    /// The group is dissolved, and nothing of it is kept.
    GroupDissolved {
        /// The group.
        group: GroupId,
    },
    /// To the control group's leader.
    Report {
        /// Opaque to this package.
        body: Vec<u8>,
    },
}
