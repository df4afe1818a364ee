//! Messages in flight.

use std::net::SocketAddr;

use plankhill_chain::{Identity, Message, Millis};

use super::machine::Input;
use super::{Event, World};

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
        let arrives = (self.now + self.rng.between(1, 4)).max(self.arrival(from, to));
        self.arrivals.insert((from, to), arrives);
        self.sequence += 1;
        self.messages
            .insert(self.sequence, (from, identity, message));
        let (process_epoch, number) = (self.machines[to].process_epoch, self.sequence);
        self.schedule(
            arrives - self.now,
            Event::Deliver {
                to,
                process_epoch,
                number,
            },
        );
    }

    pub(super) fn arrival(&self, from: usize, to: usize) -> Millis {
        self.arrivals.get(&(from, to)).copied().unwrap_or_default()
    }

    pub(super) fn deliver(&mut self, to: usize, process_epoch: u64, number: u64) {
        let Some((from, identity, message)) = self.messages.remove(&number) else {
            return;
        };
        if self.machines[to].process_epoch == process_epoch
            && !self.partitions.contains(&(from, to))
        {
            self.deliver_input(to, Input::Message(identity, message));
        }
    }

    /// Delivers an answer that no member has sent.
    pub(super) fn answer(&mut self, to: usize, from: Identity, message: Message) {
        self.sequence += 1;
        let number = self.sequence;
        self.messages.insert(number, (to, from, message));
        let process_epoch = self.machines[to].process_epoch;
        self.schedule(
            2,
            Event::Deliver {
                to,
                process_epoch,
                number,
            },
        );
    }
}
