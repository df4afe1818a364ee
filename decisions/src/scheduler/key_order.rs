//! Order keys: events of one key go one at a time, in the order of acceptance, over all
//! destinations.
//!
//! The next event of a key goes once the one before is finished. Where an attempt was cut short it
//! may still be executing at the target; the key then cools down before the next event goes.

use super::Scheduler;
use crate::interface::{Ms, OrderKey};
use crate::state::{EventNumber, KeyCooldown, KeyQueue, PendingEvent};

impl Scheduler {
    /// Holds back the key's next events for as long as an attempt that was cut short may go on
    /// executing.
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
            self.forget_key_if_idle(cooldown.order_key);
        }
    }

    /// Takes a finished event out of its key's queue; the destination of the key's next event may
    /// send.
    pub(super) fn leave_key_queue(&mut self, order_key: OrderKey, number: EventNumber) {
        let queue = self
            .key_queues
            .get_mut(&order_key)
            .expect("an event with a key is in the key's queue");
        queue.events.retain(|event| event.number != number);
        if let Some(next) = queue.events.front() {
            self.changed.insert(next.destination);
        }
        self.forget_key_if_idle(order_key);
    }

    fn forget_key_if_idle(&mut self, order_key: OrderKey) {
        let Some(queue) = self.key_queues.get(&order_key) else {
            return;
        };
        if queue.events.is_empty() && queue.cooldown_ends <= self.context.now {
            self.key_queues.remove(&order_key);
        }
    }
}

impl KeyQueue {
    /// Whether an earlier event of the key is still unfinished.
    pub(super) fn is_blocked_for(&self, number: EventNumber) -> bool {
        self.events
            .front()
            .is_some_and(|first| first.number != number)
    }

    /// The end of the cool-down for an event at the head of the queue. A cool-down holds back the
    /// events behind the one that was cut short, not that event's own retry.
    pub(super) fn cooldown_for(&self, event: &PendingEvent) -> Ms {
        if event.attempts > 0 {
            0.0
        } else {
            self.cooldown_ends
        }
    }
}
