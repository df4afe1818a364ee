//! Messages on their way.

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
            .map(|member| member.me().identity.clone());
        let Some(identity) = sender else { return };
        if self.cuts.contains(&(from, to)) || self.chance.one_in(500) {
            return;
        }
        let Some(message) = self.tamper(from, to, message) else {
            return;
        };
        let arrives = (self.now + self.chance.between(1, 4)).max(self.arrival(from, to));
        self.arrivals.insert((from, to), arrives);
        self.sequence += 1;
        self.messages
            .insert(self.sequence, (from, identity, message));
        let (life, number) = (self.machines[to].life, self.sequence);
        self.at(arrives - self.now, Event::Deliver { to, life, number });
    }

    pub(super) fn arrival(&self, from: usize, to: usize) -> Millis {
        self.arrivals.get(&(from, to)).copied().unwrap_or_default()
    }

    pub(super) fn deliver(&mut self, to: usize, life: u64, number: u64) {
        let Some((from, identity, message)) = self.messages.remove(&number) else {
            return;
        };
        if self.machines[to].life == life && !self.cuts.contains(&(from, to)) {
            self.input(to, Input::Message(identity, message));
        }
    }

    /// Delivers an answer that nobody has given.
    pub(super) fn answer(&mut self, to: usize, from: Identity, message: Message) {
        self.sequence += 1;
        let number = self.sequence;
        self.messages.insert(number, (to, from, message));
        let life = self.machines[to].life;
        self.at(2, Event::Deliver { to, life, number });
    }
}
