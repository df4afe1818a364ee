//! What a member asks of its disk and its connections, and what follows once a batch of writes is durable.

use std::net::SocketAddr;

use crate::durable::Write;
use crate::effect::{Deferred, Effect};
use crate::machine::StateMachine;
use crate::message::Message;
use crate::view::Identity;

use super::ChainMember;

impl<M: StateMachine> ChainMember<M> {
    pub(super) fn carry_out(&mut self, deferred: Deferred) {
        match deferred {
            Deferred::Nothing => {}
            Deferred::Send(to, message) => self.send(to, message),
            Deferred::Vote(message) => {
                let me = self.me.identity.clone();
                self.on_vote(&me, message);
            }
            Deferred::View(number, last) => {
                self.durable = (number, last);
                self.send_heartbeats();
            }
            Deferred::Position(view, last) => {
                self.durable = (view, last);
                self.on_position(view);
            }
        }
    }

    pub(super) fn persist(&mut self, writes: Vec<Write>, then: Deferred) {
        self.tickets.0 += 1;
        self.deferred.push_back((self.tickets, self.now, then));
        self.effects.push(Effect::Persist {
            ticket: self.tickets,
            writes,
        });
    }

    pub(super) fn send(&mut self, to: SocketAddr, message: Message) {
        self.effects.push(Effect::Send { to, message });
    }

    /// Sends to a machine that was heard or that the view names.
    pub(super) fn send_to(&mut self, to: &Identity, message: Message) {
        if let Some(address) = self.address_of(to) {
            self.send(address, message);
        }
    }

    pub(super) fn address_of(&self, identity: &Identity) -> Option<SocketAddr> {
        let heard = self
            .peers
            .get(identity)
            .map(|peer| peer.heartbeat.member.address);
        heard.or_else(|| self.view.voter(identity).map(|voter| voter.address))
    }
}
