//! A voter's answers in the agreement on the next view. Both are on disk before they are given.

use crate::durable::{Ballot, Write};
use crate::effect::Deferred;
use crate::machine::StateMachine;
use crate::message::Message;
use crate::view::{Identity, View, ViewNumber};

use super::ChainMember;

impl<M: StateMachine> ChainMember<M> {
    /// First phase. With the promise this member stops taking operations in its present view, so that the
    /// position it tells stays true until the next view begins.
    pub(super) fn on_prepare(&mut self, from: &Identity, instance: ViewNumber, ballot: Ballot) {
        if !self.may_answer(from, instance, &ballot) {
            return;
        }
        let newly_sealed = !self.is_sealed();
        self.acceptor.promised = Some(ballot.clone());
        let accepted = self.acceptor.accepted.clone();
        let promise = Message::Promise {
            instance,
            ballot,
            accepted,
            position: self.log.last(),
        };
        self.vote(from, promise);
        if newly_sealed {
            self.send_heartbeats();
        }
    }

    /// Second phase.
    pub(super) fn on_accept(&mut self, from: &Identity, ballot: Ballot, view: View) {
        let instance = view.number;
        if !self.may_answer(from, instance, &ballot) {
            return;
        }
        self.acceptor.promised = Some(ballot.clone());
        self.acceptor.accepted = Some((ballot.clone(), view));
        self.vote(from, Message::Accepted { instance, ballot });
    }

    /// Whether this member votes on that view and has promised no later attempt.
    fn may_answer(&mut self, from: &Identity, instance: ViewNumber, ballot: &Ballot) -> bool {
        if instance <= self.view.number {
            let decided = Message::Decided(self.view.clone());
            self.send_to(from, decided);
            return false;
        }
        if instance != self.acceptor.instance
            || !self.is_elector(&self.me.identity)
            || !self.is_elector(from)
        {
            return false;
        }
        self.attempts.saw(ballot, self.now);
        if self.disk_is_away() {
            // The vote could not be given; the question comes again.
            return false;
        }
        match self
            .acceptor
            .promised
            .clone()
            .filter(|promised| promised > ballot)
        {
            None => true,
            Some(promised) => {
                self.answer(from, Message::Refuse { instance, promised });
                false
            }
        }
    }

    fn vote(&mut self, to: &Identity, vote: Message) {
        let writes = vec![Write::Acceptor(self.acceptor.clone())];
        let own = *to == self.me.identity;
        match self.address_of(to) {
            _ if own => self.persist(writes, Deferred::Vote(vote)),
            Some(address) => self.persist(writes, Deferred::Send(address, vote)),
            None => self.persist(writes, Deferred::Nothing),
        }
    }

    fn answer(&mut self, to: &Identity, message: Message) {
        match *to == self.me.identity {
            true => self.on_vote(&to.clone(), message),
            false => self.send_to(to, message),
        }
    }

    /// Whether somebody votes on the next view: voters of the present one, or before the first the founders.
    pub(super) fn is_elector(&self, identity: &Identity) -> bool {
        if self.view.number.0 > 0 {
            return self.view.voter(identity).is_some();
        }
        let Some(founders) = &self.founders else {
            return false;
        };
        let address = match *identity == self.me.identity {
            true => Some(self.me.address),
            false => {
                let peer = self
                    .peers
                    .get(identity)
                    .filter(|peer| peer.heartbeat.founder);
                peer.map(|peer| peer.heartbeat.member.address)
            }
        };
        address.is_some_and(|address| founders.contains(&address))
    }

    /// Votes needed for the next view.
    pub(super) fn quorum(&self) -> usize {
        match (self.view.number.0, &self.founders) {
            (0, Some(founders)) => founders.len() / 2 + 1,
            _ => self.view.majority(),
        }
    }
}
