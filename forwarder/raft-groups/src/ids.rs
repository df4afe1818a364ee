//! The names that everything sent between instances uses. Their forms are part of the wire and of the disk.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// An instance as the fleet file names it. A name has no vote: what an [`Incarnation`] promised, only it keeps.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InstanceName(pub Arc<str>);

/// One incarnation of an instance's folder: drawn at random when an instance starts on an empty one, stored in it,
/// never zero. An instance that comes back without its folder is another incarnation and has promised nothing. It is
/// the instance's id in every group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// A group and its log. Its founder numbers the groups it founds and stores the number before it is used, so that no
/// id stands for two groups.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GroupId {
    /// Who founded the group.
    pub founder: Incarnation,
    /// Counted from 1 for each founder.
    pub number: u32,
}

/// As files and log lines name the group: the founder in hexadecimal, and the number.
impl fmt::Display for GroupId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{}", self.founder.0, self.number)
    }
}

/// What a group is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Purpose {
    /// The event log of one forwarder, kept by it and its replicas. The instance that leads owns the log.
    EventLog,
    /// The one group of the whole fleet: connection quotas, or lists of subscribers. All instances receive its log.
    Control,
}

/// Raft's term as the count of a group's owners: each new leader begins one. What an earlier leader proposed late is
/// without effect.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Term(pub u64);
