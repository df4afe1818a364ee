//! The names that everything said between instances uses.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// As the fleet file names an instance. A name has no vote: what an [`Incarnation`] promised, only it keeps.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InstanceName(pub Arc<str>);

/// One life of a folder: drawn at random when an instance starts on an empty one, kept in it, never zero. An
/// instance that comes back without its folder is another incarnation and has promised nothing. It is the
/// voter's id in every group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// A group and its log. Its founder numbers the groups it founds and notes the number before it is used, so
/// that no id stands for two groups.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GroupId {
    pub founder: Incarnation,
    pub number: u32,
}

/// What a group is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Purpose {
    /// What one forwarder holds: it and its keepers. The instance that leads owns the record.
    EventLog,
    /// The one group of the whole fleet: parts of budgets, groups of subscribers. All instances hear its log.
    Control,
}

/// Counts the owners of a group: each new leader begins one. What an earlier one proposed late is void.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Term(pub u64);
