//! Order keys: events with the same key are attempted one at a time, in the order of acceptance,
//! across all destinations.
//!
//! The next event of a key may be attempted once the previous one is finished. An attempt that was
//! cut short may still be executing at the target, so the key cools down before its next event is
//! attempted.

use super::Scheduler;
use crate::interface::{Ms, OrderKey};
use crate::state::{EventNumber, KeyCooldown, KeyQueue, PendingEvent};

impl Scheduler {
    /// Starts the key's cool-down, which delays its next events while an attempt that was cut short
    /// may still be executing.
    pub(super) fn cool_down_key(&mut self, order_key: OrderKey) {
        self.cool_down_key_until(
            order_key,
            self.context.now + self.context.config.key_cooldown,
        );
    }

    pub(super) fn cool_down_key_until(&mut self, order_key: OrderKey, ends: Ms) {
        let queue = self
            .key_queues
            .get_mut(&order_key)
            .expect("an event with a key is in the key's queue");
        queue.cooldown_ends = queue.cooldown_ends.max(ends);
        self.key_cooldowns
            .push_back(KeyCooldown { ends, order_key });
    }

    pub(super) fn end_key_cooldowns(&mut self) {
        let now = self.context.now;
        while let Some(cooldown) = self
            .key_cooldowns
            .pop_front_if(|cooldown| cooldown.ends <= now)
        {
            self.remove_key_if_idle(cooldown.order_key);
        }
    }

    /// Removes a finished event from its key's queue and marks the destination of the key's next
    /// event as changed, because that event may now be sent.
    pub(super) fn remove_from_key_queue(&mut self, order_key: OrderKey, number: EventNumber) {
        let queue = self
            .key_queues
            .get_mut(&order_key)
            .expect("an event with a key is in the key's queue");
        queue.events.retain(|event| event.number != number);
        if let Some(next) = queue.events.front() {
            self.changed.insert(next.destination);
        }
        self.remove_key_if_idle(order_key);
    }

    fn remove_key_if_idle(&mut self, order_key: OrderKey) {
        let Some(queue) = self.key_queues.get(&order_key) else {
            return;
        };
        if queue.events.is_empty() && queue.cooldown_ends <= self.context.now {
            self.key_queues.remove(&order_key);
        }
    }
}

impl KeyQueue {
    /// Returns whether an earlier event of the key is still unfinished.
    pub(super) fn is_blocked_for(&self, number: EventNumber) -> bool {
        self.events
            .front()
            .is_some_and(|first| first.number != number)
    }

    /// Returns the end of the cool-down for an event at the head of the queue. A cool-down delays
    /// the events behind the one whose attempt was cut short, not that event's own retry.
    pub(super) fn cooldown_for(&self, event: &PendingEvent) -> Ms {
        if event.attempts > 0 {
            0.0
        } else {
            self.cooldown_ends
        }
    }
}
