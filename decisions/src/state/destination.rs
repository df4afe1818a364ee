//! Destinations: their lanes, their events, and their ranks in the scheduler's index.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::decaying_sum::DecayingSum;
use super::event::{CallNumber, EventNumber, InFlightCall, PendingEvent};
use super::ordered_float::OrderedFloat;
use super::target_lane::{Target, TargetLane};
use crate::interface::{DestinationKindId, Ms, TargetId};

/// What the destinations of one kind have shown of late.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct KindStatistics {
    pub(crate) delivered: DecayingSum,
    /// Calls that were rejected.
    pub(crate) rejected: DecayingSum,
    /// Connections that were refused by destinations that were healthy.
    pub(crate) connect_failed: DecayingSum,
}

/// Positions of a lane in its destination and of a target in that lane.
#[derive(Clone, Copy)]
pub(crate) struct LaneTarget {
    pub(crate) lane: usize,
    pub(crate) target: usize,
}

/// A destination's rank among those that could send now: the least is next.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct TurnRank {
    pub(crate) is_in_doubt: bool,
    pub(crate) calls_in_flight: usize,
    pub(crate) last_call: CallNumber,
}

/// A destination's rank among those with queued events: the greatest is first to shed load.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct BacklogRank {
    /// None of its events can be sent now.
    pub(crate) is_blocked: bool,
    pub(crate) queued_events: usize,
    pub(crate) next_send_at: OrderedFloat,
}

/// A destination's ranks in the three sets of the scheduler's index, as they were entered there.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct IndexEntry {
    pub(crate) due_at: OrderedFloat,
    pub(crate) backlog: BacklogRank,
    /// None: nothing can be sent.
    pub(crate) turn: Option<TurnRank>,
}

/// A rate that was recorded at some time and loses its meaning with age.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct RecordedRate {
    pub(crate) calls_per_second: f64,
    pub(crate) recorded_at: Ms,
}

/// A destination, from its first listing or event until a while after its last.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct Destination {
    pub(crate) kind: DestinationKindId,
    pub(crate) lanes: Vec<TargetLane>,
    /// In the order of acceptance.
    pub(crate) events: BTreeMap<EventNumber, PendingEvent>,
    pub(crate) calls: BTreeMap<CallNumber, InFlightCall>,
    /// Calls a second that the endpoint list says the destination takes; 0 if the list does not
    /// say.
    pub(crate) advertised_rate: f64,
    pub(crate) accepted_events: DecayingSum,
    /// Calls, of one event or of several.
    pub(crate) sent_calls: DecayingSum,
    pub(crate) last_call: CallNumber,
    /// What usually went to each lane before it had to warm up.
    pub(crate) usual_before_warm_up: RecordedRate,
    /// Since when there is neither an event nor a listed target.
    pub(crate) unused_since: Option<Ms>,
    pub(crate) index_entry: IndexEntry,
}

impl Destination {
    /// The events that are neither complete nor in flight.
    pub(crate) fn queued_events(&self) -> impl Iterator<Item = (EventNumber, &PendingEvent)> {
        let queued = self.events.iter().filter(|(_, event)| event.is_queued());
        queued.map(|(&number, event)| (number, event))
    }

    pub(crate) fn queued_event_count(&self) -> usize {
        self.queued_events().count()
    }

    /// The lanes with a running target; one at least.
    pub(crate) fn running_lane_count(&self) -> f64 {
        self.lanes
            .iter()
            .filter(|lane| lane.is_running())
            .count()
            .max(1) as f64
    }

    /// The position of the lane that has the target.
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
