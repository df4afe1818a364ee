//! Destinations: their lanes, their events, and their ranks in the scheduler's index.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::decaying_sum::DecayingSum;
use super::event::{CallNumber, EventNumber, InFlightCall, PendingEvent};
use super::ordered_float::OrderedFloat;
use super::target_lane::{Target, TargetLane};
use crate::interface::{DestinationKindId, Ms, TargetId};

/// Recent call statistics of the destinations of one kind.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct KindStatistics {
    pub(crate) delivered: DecayingSum,
    /// Calls that were rejected.
    pub(crate) rejected: DecayingSum,
    /// Connections that healthy destinations refused.
    pub(crate) connect_failed: DecayingSum,
}

/// Positions of a lane in its destination and of a target in that lane.
#[derive(Clone, Copy)]
pub(crate) struct LaneTarget {
    pub(crate) lane: usize,
    pub(crate) target: usize,
}

/// A destination's rank among those that can send now; the lowest rank is next.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct TurnRank {
    pub(crate) is_in_doubt: bool,
    pub(crate) calls_in_flight: usize,
    pub(crate) last_call: CallNumber,
}

/// A destination's rank among those with queued events; the highest rank sheds load first.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct BacklogRank {
    /// None of the destination's events can be sent now.
    pub(crate) is_blocked: bool,
    pub(crate) queued_events: usize,
    pub(crate) next_send_at: OrderedFloat,
}

/// A destination's entry in the scheduler's index, with its rank in each of the three sets.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct IndexEntry {
    pub(crate) due_at: OrderedFloat,
    pub(crate) backlog: BacklogRank,
    /// `None` if nothing can be sent.
    pub(crate) turn: Option<TurnRank>,
}

/// A recorded rate, whose weight decreases with its age.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct RecordedRate {
    pub(crate) calls_per_second: f64,
    pub(crate) recorded_at: Ms,
}

/// A destination, kept from its first listing or event until some time after its last.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct Destination {
    pub(crate) kind: DestinationKindId,
    pub(crate) lanes: Vec<TargetLane>,
    /// Pending events, in the order of acceptance.
    pub(crate) events: BTreeMap<EventNumber, PendingEvent>,
    pub(crate) calls: BTreeMap<CallNumber, InFlightCall>,
    /// Calls per second that the destination accepts according to the endpoint list; 0 if the list
    /// has no rate.
    pub(crate) advertised_rate: f64,
    pub(crate) accepted_events: DecayingSum,
    /// Calls that were sent, each with one or more events.
    pub(crate) sent_calls: DecayingSum,
    pub(crate) last_call: CallNumber,
    /// Usual rate of each lane before it had to warm up.
    pub(crate) usual_before_warm_up: RecordedRate,
    /// The time since which there has been neither an event nor a listed target.
    pub(crate) unused_since: Option<Ms>,
    pub(crate) index_entry: IndexEntry,
}

impl Destination {
    /// Returns the events that are neither complete nor in flight.
    pub(crate) fn queued_events(&self) -> impl Iterator<Item = (EventNumber, &PendingEvent)> {
        let queued = self.events.iter().filter(|(_, event)| event.is_queued());
        queued.map(|(&number, event)| (number, event))
    }

    pub(crate) fn queued_event_count(&self) -> usize {
        self.queued_events().count()
    }

    /// Returns the number of lanes with a running target, but at least one.
    pub(crate) fn running_lane_count(&self) -> f64 {
        self.lanes
            .iter()
            .filter(|lane| lane.is_running())
            .count()
            .max(1) as f64
    }

    /// Returns the position of the lane that has the target.
    pub(crate) fn lane_of(&self, target: &TargetId) -> Option<usize> {
        self.lanes
            .iter()
            .position(|lane| lane.target(target).is_some())
    }

    pub(crate) fn target_mut(&mut self, target: &TargetId) -> Option<&mut Target> {
        self.lanes
            .iter_mut()
            .find_map(|lane| lane.target_mut(target))
    }

    pub(crate) fn target_at(&self, position: LaneTarget) -> &Target {
        &self.lanes[position.lane].targets[position.target]
    }
}
