//! Proposing the next view (single-decree Paxos: one decision per view number).

use std::collections::{BTreeMap, BTreeSet};

use plankhill_protocol::ids::{NodeId, Revision};

use crate::durable::Ballot;
use crate::effect::Millis;
use crate::machine::StateMachine;
use crate::message::Message;
use crate::timing::{ATTEMPT, BACKOFF, RANK_DELAY, REPEAT};
use crate::view::{Identity, Member, View, ViewNumber};

use super::ChainMember;

/// This member's attempts to get the next view agreed on.
#[derive(Debug, Default)]
pub(super) struct Attempts {
    round: u64,
    not_before: Millis,
    wanted_since: Option<Millis>,
    /// When a voter last answered somebody's attempt here.
    pub(super) voted_at: Option<Millis>,
    current: Option<Attempt>,
}

#[derive(Debug)]
struct Attempt {
    instance: ViewNumber,
    ballot: Ballot,
    started: Millis,
    sent: Millis,
    phase: Phase,
}

#[derive(Debug)]
enum Phase {
    Preparing(BTreeMap<NodeId, Promised>),
    Accepting {
        view: View,
        accepted: BTreeSet<NodeId>,
    },
}

/// One voter's promise.
#[derive(Clone, Debug)]
pub(super) struct Promised {
    pub(super) identity: Identity,
    pub(super) position: Revision,
    accepted: Option<(Ballot, View)>,
}

impl Attempts {
    pub(super) fn is_idle(&self) -> bool {
        self.current.is_none() && self.wanted_since.is_none()
    }

    /// An attempt of anybody passed by.
    pub(super) fn saw(&mut self, ballot: &Ballot, now: Millis) {
        self.round = self.round.max(ballot.round);
        self.voted_at = Some(now);
    }

    /// A later view was taken over.
    pub(super) fn end(&mut self, now: Millis) {
        *self = Self {
            not_before: now,
            ..Self::default()
        };
    }
}

impl<M: StateMachine> ChainMember<M> {
    /// Time has passed.
    pub(super) fn drive_attempts(&mut self) {
        match self
            .attempts
            .current
            .as_ref()
            .map(|attempt| (attempt.started, attempt.sent))
        {
            Some((started, _)) if self.now.saturating_sub(started) >= ATTEMPT => self.give_up(),
            Some((_, sent)) => {
                if self.now.saturating_sub(sent) >= REPEAT {
                    self.ask_electors();
                }
                self.conclude_preparation();
            }
            None => self.begin_if_wanted(),
        }
    }

    fn begin_if_wanted(&mut self) {
        let Some(rank) = self.wants_view() else {
            self.attempts.wanted_since = None;
            return;
        };
        let since = *self.attempts.wanted_since.get_or_insert(self.now);
        let due = since + rank as Millis * RANK_DELAY;
        if self.now >= due.max(self.attempts.not_before) {
            self.begin_attempt();
        }
    }

    fn begin_attempt(&mut self) {
        let promised = self
            .acceptor
            .promised
            .as_ref()
            .map_or(0, |ballot| ballot.round);
        self.attempts.round = self.attempts.round.max(promised) + 1;
        let ballot = Ballot {
            round: self.attempts.round,
            proposer: self.me.identity.node.clone(),
        };
        self.attempts.current = Some(Attempt {
            instance: self.acceptor.instance,
            ballot,
            started: self.now,
            sent: self.now,
            phase: Phase::Preparing(BTreeMap::new()),
        });
        self.ask_electors();
    }

    /// A random number below `bound` (xorshift).
    fn random_below(&mut self, bound: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random % bound.max(1)
    }

    fn give_up(&mut self) {
        self.attempts.current = None;
        self.attempts.not_before = self.now + 1 + self.random_below(BACKOFF);
    }

    /// Sends the question of the present phase to everyone who has not answered it.
    fn ask_electors(&mut self) {
        let now = self.now;
        let Some(attempt) = self.attempts.current.as_mut() else {
            return;
        };
        attempt.sent = now;
        let (ballot, instance) = (attempt.ballot.clone(), attempt.instance);
        let (message, answered): (_, BTreeSet<_>) = match &attempt.phase {
            Phase::Preparing(promises) => (
                Message::Prepare { instance, ballot },
                promises.keys().cloned().collect(),
            ),
            Phase::Accepting { view, accepted } => (
                Message::Accept {
                    ballot,
                    view: view.clone(),
                },
                accepted.clone(),
            ),
        };
        for elector in self.electors() {
            if answered.contains(&elector.identity.node) {
                continue;
            }
            match elector.identity == self.me.identity {
                true => self.receive(&elector.identity, message.clone(), now),
                false => self.send(elector.address, message.clone()),
            }
        }
    }

    /// Everyone known who votes on the next view.
    pub(super) fn electors(&self) -> Vec<Member> {
        if self.view.number.0 > 0 {
            return self.view.voters.clone();
        }
        let heard = self.peers.all().map(|peer| peer.heartbeat.member.clone());
        let known = heard.chain([self.me.clone()]);
        known
            .filter(|member| self.is_elector(&member.identity))
            .collect()
    }

    /// An answer to this member's attempt.
    pub(super) fn on_vote(&mut self, from: &Identity, vote: Message) {
        if !self.is_elector(from) {
            return;
        }
        match vote {
            Message::Promise {
                instance,
                ballot,
                accepted,
                position,
            } => {
                let promised = Promised {
                    identity: from.clone(),
                    position,
                    accepted,
                };
                self.on_promise(instance, &ballot, promised);
            }
            Message::Accepted { instance, ballot } => self.on_accepted(from, instance, &ballot),
            Message::Refuse { instance, promised } => {
                let refused = self.attempts.current.as_ref().is_some_and(|attempt| {
                    attempt.instance == instance && attempt.ballot < promised
                });
                if refused {
                    self.attempts.saw(&promised, self.now);
                    self.give_up();
                }
            }
            _ => {}
        }
    }

    fn attempt_of(&mut self, instance: ViewNumber, ballot: &Ballot) -> Option<&mut Attempt> {
        let current = self.attempts.current.as_mut();
        current.filter(|attempt| attempt.instance == instance && attempt.ballot == *ballot)
    }

    fn on_promise(&mut self, instance: ViewNumber, ballot: &Ballot, promised: Promised) {
        let Some(attempt) = self.attempt_of(instance, ballot) else {
            return;
        };
        if let Phase::Preparing(promises) = &mut attempt.phase {
            promises.insert(promised.identity.node.clone(), promised);
            self.conclude_preparation();
        }
    }

    /// With enough promises, its own among them: asks for the view that may have been agreed on already, or else for
    /// the one that this member finds right. Its own promise is on disk then, so that no later life uses the same
    /// ballot for another view.
    fn conclude_preparation(&mut self) {
        let Some(attempt) = self.attempts.current.as_ref() else {
            return;
        };
        let Phase::Preparing(promises) = &attempt.phase else {
            return;
        };
        if promises.len() < self.quorum() || !promises.contains_key(&self.me.identity.node) {
            return;
        }
        let waited = self.now.saturating_sub(attempt.started);
        let bound = promises
            .values()
            .filter_map(|promised| promised.accepted.as_ref());
        let bound = bound
            .max_by(|one, other| one.0.cmp(&other.0))
            .map(|(_, view)| view.clone());
        let Some(view) = bound.or_else(|| self.plan(promises, waited)) else {
            return;
        };
        if let Some(attempt) = self.attempts.current.as_mut() {
            attempt.phase = Phase::Accepting {
                view,
                accepted: BTreeSet::new(),
            };
        }
        self.ask_electors();
    }

    fn on_accepted(&mut self, from: &Identity, instance: ViewNumber, ballot: &Ballot) {
        let quorum = self.quorum();
        let Some(attempt) = self.attempt_of(instance, ballot) else {
            return;
        };
        let Phase::Accepting { view, accepted } = &mut attempt.phase else {
            return;
        };
        accepted.insert(from.node.clone());
        if accepted.len() < quorum {
            return;
        }
        let view = view.clone();
        for contact in self.contacts() {
            self.send(contact, Message::Decided(view.clone()));
        }
        self.adopt(view);
    }
}
