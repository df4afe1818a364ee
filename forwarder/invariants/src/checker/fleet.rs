//! Invariants over all forwarders of a fleet together.

use super::Checker;
use crate::invariant::Invariant;
use crate::observation::Ms;

impl Checker {
    /// Marks an event whose client received no response and has to take the next step itself. The
    /// event delays no other event of its key.
    pub(super) fn mark_unconfirmed(&mut self, number: u64) {
        let Some(event) = self.events.get_mut(&number) else {
            return;
        };
        event.is_unconfirmed = true;
        let Some(id) = event.queue_id() else {
            return;
        };
        if let Some(queue) = self.key_queues.get_mut(&id) {
            queue.events.retain(|&queued| queued != number);
        }
    }

    pub(super) fn set_connection_limit(&mut self, target: u32, limit: u32) {
        self.connections.entry(target).or_default().limit = Some(limit);
        self.check_connection_limit(target);
    }

    pub(super) fn open_connection(&mut self, forwarder: u32, target: u32) {
        let connections = self.connections.entry(target).or_default();
        *connections.open_by_forwarder.entry(forwarder).or_default() += 1;
        self.check_connection_limit(target);
    }

    pub(super) fn close_connection(&mut self, forwarder: u32, target: u32) {
        let connections = self.connections.entry(target).or_default();
        match connections.open_by_forwarder.get_mut(&forwarder) {
            Some(open) if *open > 1 => *open -= 1,
            Some(_) => {
                connections.open_by_forwarder.remove(&forwarder);
            }
            None => {
                let description = format!(
                    "a connection of forwarder {forwarder} to target {target} closed that was not open"
                );
                self.report(Invariant::WithinConnectionLimit, description);
            }
        }
    }

    fn check_connection_limit(&mut self, target: u32) {
        let Some(connections) = self.connections.get(&target) else {
            return;
        };
        let Some(limit) = connections.limit else {
            return;
        };
        let open: u32 = connections.open_by_forwarder.values().sum();
        if open > limit {
            let description =
                format!("target {target} has {open} connections open, {limit} at most");
            self.report(Invariant::WithinConnectionLimit, description);
        }
    }

    pub(super) fn start_service(&mut self, forwarder: u32, subscriber: u32) {
        let servers = &mut self.subscribers.entry(subscriber).or_default().forwarders;
        servers.push(forwarder);
        if servers.len() > 1 {
            let description =
                format!("subscriber {subscriber} is served by forwarders {servers:?}");
            self.report(Invariant::OneServerPerSubscriber, description);
        }
    }

    pub(super) fn end_service(&mut self, forwarder: u32, subscriber: u32) {
        let servers = &mut self.subscribers.entry(subscriber).or_default().forwarders;
        let before = servers.len();
        servers.retain(|&server| server != forwarder);
        if servers.len() == before {
            let description = format!(
                "forwarder {forwarder} stopped to serve subscriber {subscriber}, which it did not"
            );
            self.report(Invariant::OneServerPerSubscriber, description);
        }
    }

    /// Ends a run in which all forwarders have recovered and have had time to catch up: reports
    /// every accepted event without a completion, whatever its deadline, and every subscriber
    /// without a server.
    pub fn finish_after_recovery(&mut self, now: Ms) {
        self.now = self.now.max(now);
        let lost = self
            .events
            .iter()
            .filter(|(_, event)| event.requires_completion());
        let mut lost: Vec<u64> = lost.map(|(&number, _)| number).collect();
        lost.sort_unstable();
        for number in lost {
            let forwarder = self.events[&number].accepted_by;
            let description =
                format!("event {number}, promised by forwarder {forwarder}, has no end");
            self.report(Invariant::NoAcceptedEventLost, description);
        }
        let unserved = self
            .subscribers
            .iter()
            .filter(|(_, servers)| servers.forwarders.is_empty());
        let mut unserved: Vec<u32> = unserved.map(|(&subscriber, _)| subscriber).collect();
        unserved.sort_unstable();
        for subscriber in unserved {
            let description = format!("subscriber {subscriber} is served by nobody");
            self.report(Invariant::OneServerPerSubscriber, description);
        }
    }
}
