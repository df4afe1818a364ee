//! Identifiers that commands and state use.

use plankhill_decisions::interface::{DestinationId, EventId};
use serde::{Deserialize, Serialize};

/// A destination as a member of lists.
pub type Subscriber = DestinationId;

/// A list of destinations, as the fleet file names it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ListName(pub String);

/// The id that the client gave with `Req-Id`; at most [`BroadcastId::MAX_LEN`] bytes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BroadcastId(pub String);

impl BroadcastId {
    /// In bytes. An event id has at most 128; a copy's id adds a separator and up to 20 digits of the
    /// destination.
    pub const MAX_LEN: usize = 107;
}

/// A group of subscribers that one instance serves. Unrelated to a Raft group, which is a log and its voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Cohort(pub u32);

/// Identifies an instance for as long as it keeps its state folder: an instance that restarts without the
/// folder has a new id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InstanceId(pub u64);

/// The position of a broadcast among all accepted broadcasts, from 1.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position(pub u64);

/// The event id of a copy: the same whichever instance hands the copy out, and however often.
pub fn copy_id(broadcast: &BroadcastId, subscriber: Subscriber) -> EventId {
    EventId(format!("{}~{}", broadcast.0, subscriber.0).into())
}

/// The broadcast and the subscriber of the copy with this event id; `None` if the id does not have the form
/// of a copy's.
pub fn copy_of(event: &EventId) -> Option<(BroadcastId, Subscriber)> {
    let (broadcast, subscriber) = event.0.rsplit_once('~')?;
    let number = subscriber.parse().ok().map(DestinationId)?;
    let same = copy_id(&BroadcastId(broadcast.to_owned()), number) == *event;
    same.then(|| (BroadcastId(broadcast.to_owned()), number))
}
