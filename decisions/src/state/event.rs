//! Accepted events, their calls, and the queues of their order keys.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::interface::{DestinationId, EventId, Ms, OrderKey, TargetId, TrafficTypeId, ZoneId};

/// An event's position in the order of acceptance, over all destinations.
pub(crate) type EventNumber = u64;

/// A call's position in the order of calls, over all destinations.
pub(crate) type CallNumber = u64;

/// Location of an accepted event: its destination and its number.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub(crate) struct EventLocation {
    pub(crate) destination: DestinationId,
    pub(crate) number: EventNumber,
}

/// The first attempt of an event that may have been executed, without a confirmation.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub(crate) struct PossibleExecution {
    pub(crate) sent_at: Ms,
    pub(crate) zone: ZoneId,
}

/// An accepted event. It is kept until its client has been informed of its completion and no call
/// in flight carries it.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct PendingEvent {
    pub(crate) id: EventId,
    pub(crate) traffic_type: TrafficTypeId,
    pub(crate) order_key: Option<OrderKey>,
    pub(crate) deadline: Ms,
    /// The member that requested the event had used up its quota.
    pub(crate) over_quota: bool,
    pub(crate) attempts: u32,
    /// The event was restored after a restart and has not been attempted.
    #[serde(default)]
    pub(crate) restored_unattempted: bool,
    /// The call in flight that carries the event.
    pub(crate) call: Option<CallNumber>,
    /// The end of the backoff after the last attempt.
    pub(crate) not_before: Ms,
    pub(crate) may_have_run: Option<PossibleExecution>,
    /// A complete event is kept only until its call has ended and its completion is acknowledged.
    pub(crate) is_complete: bool,
    pub(crate) awaits_acknowledgement: bool,
}

impl PendingEvent {
    /// Returns whether the event is neither complete nor in flight.
    pub(crate) fn is_queued(&self) -> bool {
        !self.is_complete && self.call.is_none()
    }

    /// Returns whether the event is complete, awaits no acknowledgement and is not in flight.
    pub(crate) fn is_finished(&self) -> bool {
        self.is_complete && !self.awaits_acknowledgement && self.call.is_none()
    }
}

/// An entry in the queue of an order key.
#[derive(Serialize, Deserialize)]
pub(crate) struct QueuedEvent {
    pub(crate) number: EventNumber,
    pub(crate) destination: DestinationId,
}

/// The events of one order key, in the order of acceptance. Only the first may be attempted.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct KeyQueue {
    pub(crate) events: VecDeque<QueuedEvent>,
    /// The time until which an earlier event of the key may still be executing at a target.
    pub(crate) cooldown_ends: Ms,
}

/// The end of an order key's cool-down, unless a later cool-down has begun since.
#[derive(Serialize, Deserialize)]
pub(crate) struct KeyCooldown {
    pub(crate) ends: Ms,
    pub(crate) order_key: OrderKey,
}

/// A call in flight with one or more events. Its outcome is reported separately for each event.
#[derive(Serialize, Deserialize)]
pub(crate) struct InFlightCall {
    pub(crate) target: TargetId,
    pub(crate) sent_at: Ms,
    pub(crate) unreported_events: usize,
    /// The outcome has been applied to the target and its lane, which is done once for each call.
    pub(crate) is_assessed: bool,
    /// The lane was in doubt when the call was sent.
    pub(crate) lane_in_doubt: bool,
    /// The call went over a connection that had been idle for some time.
    pub(crate) reuses_idle_connection: bool,
}
