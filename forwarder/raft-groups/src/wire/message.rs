//! The bodies of frames. A link begins with a [`Hello`] and its [`HelloReply`]; after that, the instance that opened
//! the link sends [`PeerMessage`]s. The order of variants and fields is part of the wire format.

use serde::{Deserialize, Serialize};

use super::raft_message::RaftMessage;
use crate::{GroupId, Incarnation, InstanceName, Purpose};

/// The version of the protocol on links. Both sides must use the same version.
pub const PROTOCOL_VERSION: u32 = 1;

/// The maximum length of the body of a link's first frame, in bytes; it is small because the sender is not identified
/// yet.
pub const MAX_HELLO_LEN: usize = 4096;

/// Identifies the sender and the start of its folder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The sender's [`PROTOCOL_VERSION`].
    pub version: u32,
    /// The name of the sender's fleet.
    pub fleet: String,
    /// The sender's name.
    pub name: InstanceName,
    /// The instance that the sender intends to reach.
    pub to: InstanceName,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The current start of the sender's folder.
    pub start: Start,
    /// The control group known to the sender.
    pub control: Option<GroupId>,
}

/// One start of a process on its folder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// Incremented by one with each start on the folder.
    pub generation: u64,
    /// Drawn at random for each start: two starts of the same generation belong to two copies of the folder.
    pub nonce: u64,
}

/// The reply to a [`Hello`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HelloReply {
    /// The sender of the hello is accepted; contains the replying instance's own hello.
    Welcome(Hello),
    /// The folder of the sender is an older copy: a later start of the same incarnation is known.
    StaleFolder {
        /// The generation of the later start.
        known_generation: u64,
    },
}

/// One chunk of a snapshot for a replica that is far behind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// The message that carries the snapshot, without its data; only in the first chunk.
    pub message: Option<RaftMessage>,
    /// The chunk's offset in the data, in bytes.
    pub offset: u64,
    /// The total length of the data, in bytes.
    pub total: u64,
    /// The chunk's data.
    pub bytes: Vec<u8>,
}

/// A message to an instance that replied with [`HelloReply::Welcome`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Shows that the link is alive.
    Heartbeat {
        /// The number of further bytes for which the sender has capacity.
        free_bytes: u64,
        /// The control group known to the sender.
        control: Option<GroupId>,
    },
    /// A message between two replicas of a group.
    Raft {
        /// The group.
        group: GroupId,
        /// The message.
        message: RaftMessage,
    },
    /// One chunk of a snapshot.
    SnapshotChunk {
        /// The group.
        group: GroupId,
        /// The chunk.
        chunk: SnapshotChunk,
    },
    /// Acknowledges the data of a snapshot up to an offset.
    ChunkReceived {
        /// The group.
        group: GroupId,
        /// The offset in bytes.
        offset: u64,
    },
    /// From a group's founder to each instance that it selected as a voter.
    FoundGroup {
        /// The new group.
        group: GroupId,
        /// The purpose of the group.
        purpose: Purpose,
        /// The initial voters of the group.
        voters: Vec<Incarnation>,
    },
    /// To an instance that is about to become a learner.
    JoinGroup {
        /// The group.
        group: GroupId,
        /// The purpose of the group.
        purpose: Purpose,
    },
    /// From a group's leader: the receiver is not a member any more.
    NotMember {
        /// The group.
        group: GroupId,
    },
    /// The group is dissolved, and its data is discarded.
    GroupDissolved {
        /// The group.
        group: GroupId,
    },
    /// A report to the leader of the control group.
    Report {
        /// The report, opaque to this package.
        body: Vec<u8>,
    },
}
