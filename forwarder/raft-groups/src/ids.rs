//! The identifiers in messages between instances. Their encodings are part of the wire and disk formats.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The name of an instance in the fleet file. Votes belong to an [`Incarnation`], not to a name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InstanceName(pub Arc<str>);

/// One incarnation of an instance's folder: drawn at random when an instance starts on an empty folder, stored in the
/// folder, never zero. An instance that restarts without its folder is another incarnation and has neither voted nor
/// acknowledged anything. The incarnation is the instance's id in every group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// The id of a group and its log. A founder numbers the groups it founds and stores each number before its use, so that
/// no id denotes two groups.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GroupId {
    /// The incarnation that founded the group.
    pub founder: Incarnation,
    /// The number of the group, counted from 1 for each founder.
    pub number: u32,
}

/// Formats the id as in file names and log lines: the founder in hexadecimal, and the number.
impl fmt::Display for GroupId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{}", self.founder.0, self.number)
    }
}

/// The purpose of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Purpose {
    /// The event log of one forwarder, replicated on that forwarder and on other instances. The instance that leads the
    /// group owns the log.
    EventLog,
    /// The only group of the whole fleet: connection quotas or subscriber lists. All instances receive its log.
    Control,
}

/// A Raft term, used as the ownership epoch of a group: each new leader begins one. A late proposal of an earlier
/// leader has no effect.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Term(pub u64);
