//! Fair queueing: determines the destination with the next turn, and which of its events can be
//! sent to which targets.
//!
//! The scheduler indexes each destination in up to three ordered sets: `due` by the time of its
//! next action, `ready` by its rank for the next turn, and `backlogs` by its queued events. The
//! destination stores its own index entry, so that the old entry can be found when the destination
//! is reindexed.

use std::collections::HashMap;

use super::context::Context;
use super::tuning::USUAL_TRAFFIC_WINDOW;
use super::Scheduler;
use crate::interface::{DestinationId, Effects, Ms, OrderKey};
use crate::state::{
    BacklogRank, Destination, EventNumber, IndexEntry, KeyQueue, LaneTarget, OrderedFloat, TurnRank,
};

/// The events that a destination can send, and the targets that accept a call.
pub(super) struct SendOptions {
    /// The events that can be sent now, in the order of acceptance.
    pub(super) events: Vec<EventNumber>,
    /// The targets that accept a call now. Not every event may be sent to each of them.
    pub(super) targets: Vec<LaneTarget>,
    /// The time at which the next event can be sent, or the next lane accepts a call that an event
    /// waits for.
    pub(super) next_send_at: Ms,
}

impl Scheduler {
    /// Sends calls while the number of calls in flight is below its limit, one for each turn of a
    /// destination. The destination with the fewest calls in flight is next; on a tie, the one
    /// whose last call is longest ago.
    ///
    /// Destinations in doubt come last and get at most half of the limit, so that the other half is
    /// reserved for destinations that answer. This guards against every fault that keeps calls in
    /// flight; it is harmful where most destinations are slow and the limit would have sufficed.
    pub(super) fn send_calls(&mut self, effects: &mut impl Effects) {
        let max_calls = self.context.config.max_calls_in_flight;
        while self.calls_in_flight < max_calls && self.context.now < self.last_send_at.0 {
            let Some(&(turn, destination)) = self.ready.first() else {
                return;
            };
            if turn.is_in_doubt && 2 * self.doubtful_calls_in_flight >= max_calls {
                return;
            }
            self.send_next_call(destination, effects);
            self.reindex(destination);
        }
    }

    /// Updates a destination's index entry, or removes a destination that has been unused for some
    /// time, so that memory is bounded by the pending events and the listed targets.
    pub(super) fn reindex(&mut self, id: DestinationId) {
        self.remove_from_index(id);
        let Some(destination) = self.destinations.get_mut(&id) else {
            return;
        };
        destination.update_unused_since(self.context.now);
        if destination
            .removal_due_at()
            .is_some_and(|removal_due_at| removal_due_at <= self.context.now)
        {
            self.destinations.remove(&id);
            return;
        }
        let entry = destination.new_index_entry(&self.context, &self.key_queues);
        destination.index_entry = entry;
        if entry.due_at != OrderedFloat::INFINITY {
            self.due.insert((entry.due_at, id));
        }
        if entry.backlog.queued_events > 0 {
            self.backlogs.insert((entry.backlog, id));
        }
        if let Some(turn) = entry.turn {
            self.ready.insert((turn, id));
        }
    }

    fn remove_from_index(&mut self, id: DestinationId) {
        let Some(destination) = self.destinations.get_mut(&id) else {
            return;
        };
        let entry = std::mem::take(&mut destination.index_entry);
        self.due.remove(&(entry.due_at, id));
        self.backlogs.remove(&(entry.backlog, id));
        if let Some(turn) = entry.turn {
            self.ready.remove(&(turn, id));
        }
    }
}

impl Destination {
    fn update_unused_since(&mut self, now: Ms) {
        let is_unused = self.events.is_empty() && self.lanes.is_empty();
        self.unused_since = if is_unused {
            self.unused_since.or(Some(now))
        } else {
            None
        };
    }

    /// Returns the time at which a destination without events and targets is removed. The delay
    /// allows for targets that are yet to be listed.
    fn removal_due_at(&self) -> Option<Ms> {
        self.unused_since.map(|since| since + USUAL_TRAFFIC_WINDOW)
    }

    fn new_index_entry(
        &self,
        context: &Context,
        key_queues: &HashMap<OrderKey, KeyQueue>,
    ) -> IndexEntry {
        let options = self.send_options(context, key_queues);
        let turn = if options.events.is_empty() {
            None
        } else {
            let is_in_doubt = options
                .targets
                .iter()
                .all(|target| self.lanes[target.lane].is_in_doubt(context));
            Some(TurnRank {
                is_in_doubt,
                calls_in_flight: self.calls.len(),
                last_call: self.last_call,
            })
        };
        let backlog = BacklogRank {
            is_blocked: turn.is_none(),
            queued_events: self.queued_event_count(),
            next_send_at: OrderedFloat(options.next_send_at),
        };
        let due_at = OrderedFloat(options.next_send_at.min(self.next_review_at(context)));
        IndexEntry {
            due_at,
            backlog,
            turn,
        }
    }

    /// Returns the events that can be sent now and the targets that accept a call, with the time at
    /// which that changes.
    pub(super) fn send_options(
        &self,
        context: &Context,
        key_queues: &HashMap<OrderKey, KeyQueue>,
    ) -> SendOptions {
        let mut targets = Vec::new();
        let mut next_lane_opens_at = f64::INFINITY;
        for (lane_index, lane) in self.lanes.iter().enumerate() {
            let opens_at = self.lane_opens_at(context, lane_index);
            if opens_at <= context.now {
                for (target_index, target) in lane.targets.iter().enumerate() {
                    if target.is_running() {
                        targets.push(LaneTarget {
                            lane: lane_index,
                            target: target_index,
                        });
                    }
                }
            } else if lane.is_running() {
                next_lane_opens_at = next_lane_opens_at.min(opens_at);
            }
        }
        let mut events = Vec::new();
        let mut next_send_at = f64::INFINITY;
        let mut some_wait_for_a_lane = false;
        for (number, event) in self.queued_events() {
            let mut cooldown_ends = 0.0;
            if let Some(order_key) = event.order_key {
                let queue = &key_queues[&order_key];
                if queue.is_blocked_for(number) {
                    continue;
                }
                cooldown_ends = queue.cooldown_for(event);
            }
            let ready_at = event.not_before.max(cooldown_ends);
            if ready_at > context.now {
                next_send_at = next_send_at.min(ready_at);
            } else if targets
                .iter()
                .any(|&target| context.may_attempt(event, self.target_at(target)))
            {
                events.push(number);
            } else {
                some_wait_for_a_lane = true;
            }
        }
        if some_wait_for_a_lane {
            next_send_at = next_send_at.min(next_lane_opens_at);
        }
        SendOptions {
            events,
            targets,
            next_send_at,
        }
    }

    /// Returns the time at which the lane accepts its next call.
    fn lane_opens_at(&self, context: &Context, lane_index: usize) -> Ms {
        let lane = &self.lanes[lane_index];
        if lane.is_offline {
            return lane.trial_call_at(context);
        }
        let opens_at = lane.retry_after_ends.max(lane.backoff_ends);
        match self.rate_limit(context, lane_index) {
            Some(_) => opens_at.max(lane.next_call_at),
            None => opens_at,
        }
    }

    /// Returns the time of the next due action other than a call: the completion of an event, a
    /// health check, the closing of an idle connection, the end of a deduplication window, or the
    /// removal of an unused destination.
    fn next_review_at(&self, context: &Context) -> Ms {
        let mut next = f64::INFINITY;
        for event in self.events.values() {
            if event.is_queued() {
                next = next.min(context.completion_due_at(event));
            }
            if event.call.is_some() {
                let window_ends_at = context.deduplication_ends(event);
                if window_ends_at > context.now {
                    next = next.min(window_ends_at);
                }
            }
        }
        let has_queued_events = self.queued_event_count() > 0;
        for lane in &self.lanes {
            next = next.min(lane.health_check_due_at(context, has_queued_events));
        }
        if let Some(closes_at) = self.next_idle_connection_closes_at(context) {
            next = next.min(closes_at);
        }
        if let Some(removal_due_at) = self.removal_due_at() {
            next = next.min(removal_due_at);
        }
        next
    }
}
