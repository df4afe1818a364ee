//! Transmission of messages, with delays, losses and partitions.

use std::net::SocketAddr;

use plankhill_chain::{Identity, Message, Millis};

use super::machine::Input;
use super::{Event, InFlightMessage, World};

impl World {
    pub(super) fn send(&mut self, from: usize, to: SocketAddr, message: Message) {
        let Some(to) = self
            .machines
            .iter()
            .position(|machine| machine.address == to)
        else {
            return;
        };
        let sender = self.machines[from]
            .process
            .as_ref()
            .map(|member| member.member().identity.clone());
        let Some(identity) = sender else { return };
        if self.partitions.contains(&(from, to)) || self.rng.one_in(500) {
            return;
        }
        let Some(message) = self.apply_injected_bug(from, to, message) else {
            return;
        };
        if let Message::Accepted { .. } = &message {
            self.on_accepted_sent(to);
        }
        let arrives_at = (self.now + self.rng.between(1, 4)).max(self.last_arrival(from, to));
        self.last_arrivals.insert((from, to), arrives_at);
        let in_flight = InFlightMessage {
            from_machine: from,
            from: identity,
            message,
        };
        self.schedule_delivery(arrives_at - self.now, to, in_flight);
    }

    fn schedule_delivery(&mut self, delay: Millis, to: usize, in_flight: InFlightMessage) {
        self.sequence += 1;
        let message_id = self.sequence;
        self.messages.insert(message_id, in_flight);
        let process_epoch = self.machines[to].process_epoch;
        self.schedule(
            delay,
            Event::Deliver {
                to,
                process_epoch,
                message_id,
            },
        );
    }

    pub(super) fn last_arrival(&self, from: usize, to: usize) -> Millis {
        self.last_arrivals
            .get(&(from, to))
            .copied()
            .unwrap_or_default()
    }

    pub(super) fn deliver(&mut self, to: usize, process_epoch: u64, message_id: u64) {
        let Some(in_flight) = self.messages.remove(&message_id) else {
            return;
        };
        let is_running = self.machines[to].process_epoch == process_epoch;
        if is_running && !self.partitions.contains(&(in_flight.from_machine, to)) {
            self.deliver_input(to, Input::Message(in_flight.from, in_flight.message));
        }
    }

    /// Delivers a forged reply, which no member has sent.
    pub(super) fn deliver_forged_reply(&mut self, to: usize, from: Identity, message: Message) {
        let in_flight = InFlightMessage {
            from_machine: to,
            from,
            message,
        };
        self.schedule_delivery(2, to, in_flight);
    }
}
