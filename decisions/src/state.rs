//! The state that the scheduler keeps between two iterations of the event loop. It has neither
//! decisions nor tuned values: both are in `scheduler`.
//!
//! [`Scheduler`](crate::scheduler::Scheduler) owns this state. A process passes its serialized form
//! to its successor in a hot restart: structs are serialized as arrays, so the order of the fields
//! is part of the format and their names are not.

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
