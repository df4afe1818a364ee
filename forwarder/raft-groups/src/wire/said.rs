//! The frames' bodies.

use serde::{Deserialize, Serialize};

use super::mirror;
use crate::{GroupId, Incarnation, InstanceName, Purpose};

/// Both sides have to speak the same.
pub const VERSION: u32 = 1;

/// The longest body of a first frame, from one who is not known yet.
pub const LONGEST_HELLO: usize = 4096;

/// Who says it, and in which start of which folder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    pub version: u32,
    pub fleet: String,
    pub name: InstanceName,
    /// Whom the caller believes to have reached.
    pub to: InstanceName,
    pub incarnation: Incarnation,
    pub start: StartOptions,
    /// The control group that it knows of.
    pub control: Option<GroupId>,
}

/// One start of a process on its folder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOptions {
    /// Grows by one with each start on the folder.
    pub generation: u64,
    /// Drawn for each: two starts of the same number are of two copies.
    pub draw: u64,
}

/// The answer to a hello.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    Welcome(Hello),
    /// A later start of the same incarnation has been here: the caller's folder is an older copy.
    OlderCopy {
        known: u64,
    },
}

/// A state in pieces, and where the pieces go.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slice {
    /// On the first slice: the message that carries the state, without its data.
    pub message: Option<mirror::Message>,
    pub offset: u64,
    pub total: u64,
    pub bytes: Vec<u8>,
}

/// After the hello.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Said {
    /// That the link lives; how many bytes more the sender has room for; the control group it knows.
    Beat {
        left: u64,
        control: Option<GroupId>,
    },
    Raft {
        group: GroupId,
        message: mirror::Message,
    },
    Slice {
        group: GroupId,
        slice: Slice,
    },
    /// So much of the state has come.
    Taken {
        group: GroupId,
        offset: u64,
    },
    /// To a keeper chosen by a group's founder.
    Found {
        group: GroupId,
        purpose: Purpose,
        voters: Vec<Incarnation>,
    },
    /// To one that is to become a learner.
    Join {
        group: GroupId,
        purpose: Purpose,
    },
    /// From a leader whose group the receiver is no member of any more.
    Gone {
        group: GroupId,
    },
    /// The group is dissolved: nothing of it is kept.
    Dissolved {
        group: GroupId,
    },
    /// To the control group's leader.
    Report {
        body: Vec<u8>,
    },
}
