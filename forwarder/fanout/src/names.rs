//! The names that commands and state use.

use plankhill_decisions::interface::{DestinationId, EventId};
use serde::{Deserialize, Serialize};

/// A destination as a member of lists.
pub type Subscriber = DestinationId;

/// A list of destinations, as the fleet file names it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ListName(pub String);

/// As the client named it with `Req-Id`; at most [`BroadcastId::LONGEST`] bytes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BroadcastId(pub String);

impl BroadcastId {
    /// Bytes. An event's id has 128 at most; a copy's adds a sign and a destination's twenty digits.
    pub const LONGEST: usize = 107;
}

/// A group of subscribers that one instance serves. Not a group of the fleet, which is a log and its voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Cohort(pub u32);

/// One life of an instance's folder: one that comes back without it is another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InstanceId(pub u64);

/// A broadcast's place among all that were taken, from 1.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position(pub u64);

/// The id of the event that a copy is, the same whoever spreads it and however often.
pub fn copy_id(broadcast: &BroadcastId, subscriber: Subscriber) -> EventId {
    EventId(format!("{}~{}", broadcast.0, subscriber.0).into())
}

/// Which copy an event is by its id; none if the id has not the form of a copy's.
pub fn copy_of(event: &EventId) -> Option<(BroadcastId, Subscriber)> {
    let (broadcast, subscriber) = event.0.rsplit_once('~')?;
    let number = subscriber.parse().ok().map(DestinationId)?;
    let same = copy_id(&BroadcastId(broadcast.to_owned()), number) == *event;
    same.then(|| (BroadcastId(broadcast.to_owned()), number))
}
