//! What the scheduler keeps between two iterations of the event loop. Nothing is decided here and
//! no value is tuned: every decision stands below `scheduler`.
//!
//! [`Scheduler`](crate::scheduler::Scheduler) owns all of it. The serialized form is what a process
//! hands to its successor in a hot restart: structs are written as arrays, so that the order of the
//! fields is the format and their names are not.

mod decaying_sum;
mod destination;
mod event;
mod ordered_float;
mod target_lane;

pub(crate) use decaying_sum::{DecayingSum, ResponseTimes};
pub(crate) use destination::{
    BacklogRank, Destination, IndexEntry, KindStatistics, LaneTarget, RecordedRate, TurnRank,
};
pub(crate) use event::{
    CallNumber, EventLocation, EventNumber, InFlightCall, KeyCooldown, KeyQueue, PendingEvent,
    PossibleExecution, QueuedEvent,
};
pub(crate) use ordered_float::OrderedFloat;
pub(crate) use target_lane::{Pace, Target, TargetLane};
