//! Admission of events from clients: their initial state, the quotas of the members that request
//! events, and the withdrawal of events by their clients.

use super::tuning::USUAL_TRAFFIC_WINDOW;
use super::Scheduler;
use crate::interface::{DestinationId, EventId, Ms, OrderKey, TrafficTypeId};
use crate::state::{EventLocation, PendingEvent, QueuedEvent};

/// Time constant of a member's usage: long enough to count its events at one of many forwarders,
/// short compared with a flood of several seconds.
const QUOTA_WINDOW: Ms = 10_000.0;

impl Scheduler {
    /// Returns whether the destination is in the endpoint list, or was until recently. An event for
    /// any other destination could only wait for its deadline.
    pub fn has_destination(&self, destination: DestinationId) -> bool {
        self.destinations.contains_key(&destination)
    }

    /// Accepts an event that a client submitted. `deadline` is on the host's clock. The order key
    /// is ignored unless the traffic type is ordered.
    ///
    /// # Panics
    ///
    /// If the configuration has no such traffic type.
    pub fn accept_event(
        &mut self,
        id: EventId,
        destination_id: DestinationId,
        traffic_type: TrafficTypeId,
        deadline: Ms,
        order_key: Option<OrderKey>,
    ) {
        let is_ordered = self.context.config.traffic_types[traffic_type.0].ordered;
        let order_key = order_key.filter(|_| is_ordered);
        self.events_accepted += 1;
        let number = self.events_accepted;
        let location = EventLocation {
            destination: destination_id,
            number,
        };
        self.event_locations.insert(id.clone(), location);
        if let Some(order_key) = order_key {
            let queue = self.key_queues.entry(order_key).or_default();
            queue.events.push_back(QueuedEvent {
                number,
                destination: destination_id,
            });
        }
        let destination = self.destinations.entry(destination_id).or_default();
        destination
            .accepted_events
            .add(self.context.now, USUAL_TRAFFIC_WINDOW, 1.0);
        let event = PendingEvent {
            id,
            traffic_type,
            order_key,
            deadline,
            ..PendingEvent::default()
        };
        destination.events.insert(number, event);
        self.changed.insert(destination_id);
    }

    /// Charges an event that was just accepted to the member that requested it. `is_repeat` is true
    /// if the member requests the event again, which does not count as usage.
    ///
    /// An event that exceeds this forwarder's equal part of the member's quota has a reduced value
    /// from then on. The limit allows for the standard deviation of a Poisson process, because one
    /// of many forwarders receives few events.
    pub fn charge_member(&mut self, id: &EventId, member: usize, is_repeat: bool) {
        let context = &mut self.context;
        let Some(quota) = context.config.member_quotas.get(member) else {
            return;
        };
        let allowed = quota / context.config.forwarder_count * QUOTA_WINDOW / 1000.0;
        let used = context.member_usage[member].value(context.now, QUOTA_WINDOW);
        let over_quota = used >= allowed + allowed.sqrt() + 1.0;
        let charge = if over_quota || is_repeat { 0.0 } else { 1.0 };
        context.member_usage[member].add(context.now, QUOTA_WINDOW, charge);
        self.update_event(id, |event| event.over_quota = over_quota);
    }

    /// Withdraws the event for its client: no further attempt is made. Its order key stays blocked
    /// until a call in flight has ended.
    pub fn withdraw_event(&mut self, id: &EventId) {
        self.update_event(id, |event| event.is_complete = true);
    }
}
