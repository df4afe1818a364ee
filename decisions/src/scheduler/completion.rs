//! Completion of events without delivery, and removal of finished events.

use super::Scheduler;
use crate::interface::{DestinationId, Effects, EventId, Idempotency};
use crate::state::{EventLocation, EventNumber, PendingEvent};

impl Scheduler {
    /// Returns the queued events of a destination that are to be completed now: those that can no
    /// longer be delivered, and those over their member's quota that cannot have run, while more
    /// than a third of the event store is filled. The latter thus take no capacity that other
    /// events need.
    pub(super) fn events_to_complete(&self, id: DestinationId) -> Vec<EventNumber> {
        let context = &self.context;
        let is_capacity_scarce = 3 * self.stored_event_count() > context.config.event_capacity;
        let is_due = |event: &PendingEvent| {
            let is_dispensable =
                event.over_quota && is_capacity_scarce && event.may_have_run.is_none();
            is_dispensable || context.is_undeliverable(event)
        };
        let queued = self.destinations[&id].queued_events();
        queued
            .filter(|(_, event)| is_due(event))
            .map(|(number, _)| number)
            .collect()
    }

    /// Completes a queued event without delivery: rejects it if a further attempt by the client
    /// does no harm, abandons it otherwise.
    pub(super) fn complete(
        &mut self,
        id: DestinationId,
        number: EventNumber,
        effects: &mut impl Effects,
    ) {
        let destination = self
            .destinations
            .get_mut(&id)
            .expect("a queued event has a destination");
        let event = destination
            .events
            .get_mut(&number)
            .expect("a queued event is in its destination");
        event.is_complete = true;
        let idempotency = self.context.idempotency(event);
        let can_be_repeated =
            idempotency != Idempotency::NonIdempotent && !idempotency.retries_in_zone();
        let by_notification = if event.may_have_run.is_none() || can_be_repeated {
            effects.reject(&event.id, self.context.config.max_retry_after)
        } else {
            effects.abandon(&event.id)
        };
        event.awaits_acknowledgement = by_notification;
        self.unacknowledged_events += usize::from(by_notification);
        self.remove_if_finished(id, number);
    }

    /// Handles the client's acknowledgement of the completion notification. The next event of the
    /// order key may be attempted only after it.
    pub fn on_completion_acknowledged(&mut self, id: &EventId) {
        self.update_event(id, |event| event.awaits_acknowledgement = false);
    }

    /// Changes an event, if it is pending, and marks its destination for review in this iteration.
    pub(super) fn update_event(&mut self, id: &EventId, change: impl FnOnce(&mut PendingEvent)) {
        let Some(&EventLocation {
            destination: destination_id,
            number,
        }) = self.event_locations.get(id)
        else {
            return;
        };
        let destination = self.destinations.get_mut(&destination_id);
        let event = destination.and_then(|destination| destination.events.get_mut(&number));
        let event = event.expect("an event location refers to a pending event");
        self.unacknowledged_events -= usize::from(event.awaits_acknowledgement);
        change(event);
        self.unacknowledged_events += usize::from(event.awaits_acknowledgement);
        self.changed.insert(destination_id);
        self.remove_if_finished(destination_id, number);
    }

    /// Removes an event if it is finished, and unblocks the next event of its order key.
    pub(super) fn remove_if_finished(&mut self, id: DestinationId, number: EventNumber) {
        let destination = self
            .destinations
            .get_mut(&id)
            .expect("an event has a destination");
        if !destination.events[&number].is_finished() {
            return;
        }
        let Some(event) = destination.events.remove(&number) else {
            return;
        };
        self.event_locations.remove(&event.id);
        self.changed.insert(id);
        if let Some(order_key) = event.order_key {
            self.remove_from_key_queue(order_key, number);
        }
    }
}
