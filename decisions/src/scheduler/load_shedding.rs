//! Load shedding: selects the events that are completed without delivery when the event store is
//! nearly full.

use std::cmp::Reverse;

use super::context::Context;
use super::Scheduler;
use crate::interface::{DestinationId, Effects};
use crate::state::{EventNumber, OrderedFloat, PendingEvent};

/// Share of the event store that may be filled before events are shed; the remaining tenth absorbs
/// bursts.
const HIGH_WATERMARK: f64 = 0.9;

impl Scheduler {
    /// Completes queued events until the event store is no longer above its high watermark, so that
    /// events for healthy destinations are not rejected for lack of capacity.
    ///
    /// Victims are taken from the destination with the longest blocked backlog first and, among its
    /// events, by lowest value first, newest first on a tie. Events that were restored after a
    /// restart and have never been attempted are exempt: their clients have received a 202. Events
    /// that only wait for an acknowledgement use no capacity; if they were counted, one event too
    /// many would cause all queued events to be shed.
    pub(super) fn shed_load(&mut self, effects: &mut impl Effects) {
        if self.is_above_high_watermark() {
            for destination in self.changed.iter().copied().collect::<Vec<_>>() {
                self.reindex(destination);
            }
        }
        while self.is_above_high_watermark() {
            let Some((destination, event)) = self.least_valuable_event() else {
                return;
            };
            self.complete(destination, event, effects);
            self.reindex(destination);
        }
    }

    fn is_above_high_watermark(&self) -> bool {
        let high_watermark = (self.context.config.event_capacity as f64 * HIGH_WATERMARK) as usize;
        self.stored_event_count() > high_watermark
    }

    fn least_valuable_event(&self) -> Option<(DestinationId, EventNumber)> {
        for &(_, id) in self.backlogs.iter().rev() {
            let queued = self.destinations[&id].queued_events();
            let candidates = queued.filter(|(_, event)| !event.restored_unattempted);
            let victim = candidates.min_by_key(|(number, event)| {
                let value = OrderedFloat(self.context.value_if_delivered_now(event));
                (value, Reverse(*number))
            });
            if let Some((number, _)) = victim {
                return Some((id, number));
            }
        }
        None
    }
}

impl Context {
    /// Returns the value of a delivery now. The value declines from the latency target to the
    /// deadline.
    fn value_if_delivered_now(&self, event: &PendingEvent) -> f64 {
        let traffic_type = &self.config.traffic_types[event.traffic_type.0];
        let age = self.now - (event.deadline - traffic_type.time_to_deadline);
        let decline_time = (traffic_type.time_to_deadline - traffic_type.soft_limit).max(1.0);
        let lateness = ((age - traffic_type.soft_limit) / decline_time).clamp(0.0, 1.0);
        let weight = if event.over_quota {
            self.config.over_quota_value_weight
        } else {
            1.0
        };
        weight * traffic_type.value * (1.0 - lateness * (1.0 - traffic_type.value_at_end))
    }
}
