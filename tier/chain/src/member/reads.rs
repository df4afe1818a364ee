//! Linearizable reads: asked at any member, answered by the tail once a majority has confirmed its view.

use std::collections::{BTreeMap, BTreeSet};

use plankhill_protocol::ids::{NodeId, Revision};

use crate::effect::{Effect, Millis};
use crate::machine::StateMachine;
use crate::message::Message;
use crate::timing::ASK_AGAIN;
use crate::view::{Identity, ViewNumber};

use super::ChainMember;

/// Reads waiting at once, here and at the tail.
const WAITING: usize = 1_024;

/// Reads asked here, and those that the tail answers.
#[derive(Debug, Default)]
pub(super) struct Reads {
    asked: BTreeMap<u64, Asked>,
    /// At the tail: not yet part of a round.
    queued: Vec<Question>,
    round: Option<Round>,
    rounds: u64,
}

#[derive(Debug)]
struct Asked {
    ends: Millis,
    sent: Option<Millis>,
    at: Option<Revision>,
}

#[derive(Clone, Debug)]
struct Question {
    from: Identity,
    read: u64,
}

/// Questions that wait for the voters' word that the view is still theirs.
#[derive(Debug)]
struct Round {
    number: u64,
    revision: Revision,
    questions: Vec<Question>,
    confirmed: BTreeSet<NodeId>,
    sent: Millis,
}

impl Reads {
    /// Rounds are numbered from a random number on, so that answers to a former life do not count.
    pub(super) fn new(random: u64) -> Self {
        Self {
            rounds: random >> 1,
            ..Self::default()
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.asked.is_empty() && self.round.is_none()
    }
}

impl<M: StateMachine> ChainMember<M> {
    /// Asks for a state that holds all that is committed now. `read` is a number not used before. Answered by
    /// an effect: at once where this member is cut off.
    pub fn read(&mut self, read: u64, ends: Millis, now: Millis) {
        self.now = self.now.max(now);
        if !self.is_connected(self.now) || self.reads.asked.len() >= WAITING {
            self.effects.push(Effect::ReadFailed(read));
            return;
        }
        self.reads.asked.insert(
            read,
            Asked {
                ends,
                sent: None,
                at: None,
            },
        );
        self.send_reads();
    }

    pub(super) fn repeat_reads(&mut self) {
        let (now, connected) = (self.now, self.is_connected(self.now));
        let given_up = |asked: &Asked| !connected || asked.ends <= now;
        let failed: Vec<_> = self
            .reads
            .asked
            .iter()
            .filter(|(_, asked)| given_up(asked))
            .map(|(read, _)| *read)
            .collect();
        for read in failed {
            self.reads.asked.remove(&read);
            self.effects.push(Effect::ReadFailed(read));
        }
        self.send_reads();
        let stalled = |round: &Round| now.saturating_sub(round.sent) >= ASK_AGAIN;
        if self.reads.round.as_ref().is_some_and(stalled) {
            self.ask_voters();
        }
    }

    /// The view changed: the new tail has to answer.
    pub(super) fn restart_reads(&mut self) {
        self.reads.queued.clear();
        self.reads.round = None;
        self.reads
            .asked
            .values_mut()
            .for_each(|asked| asked.sent = None);
        self.send_reads();
    }

    fn send_reads(&mut self) {
        let (now, view) = (self.now, self.view.number);
        let Some(tail) = self.view.tail().map(|tail| tail.identity.clone()) else {
            return;
        };
        let due = |asked: &Asked| {
            asked.at.is_none()
                && asked
                    .sent
                    .is_none_or(|at| now.saturating_sub(at) >= ASK_AGAIN)
        };
        let mut reads = Vec::new();
        for (read, asked) in self.reads.asked.iter_mut().filter(|(_, asked)| due(asked)) {
            asked.sent = Some(now);
            reads.push(*read);
        }
        for read in reads {
            match tail == self.me.identity {
                true => self.on_read(&tail, view, read),
                false => self.send_to(&tail, Message::Read { view, read }),
            }
        }
    }

    /// A question reaches the tail.
    pub(super) fn on_read(&mut self, from: &Identity, view: ViewNumber, read: u64) {
        if view != self.view.number || !self.is_tail() || self.reads.queued.len() >= WAITING {
            return;
        }
        self.reads.queued.push(Question {
            from: from.clone(),
            read,
        });
        if self.reads.round.is_none() {
            self.start_round();
        }
    }

    fn start_round(&mut self) {
        let questions = std::mem::take(&mut self.reads.queued);
        if questions.is_empty() {
            return;
        }
        self.reads.rounds += 1;
        self.reads.round = Some(Round {
            number: self.reads.rounds,
            revision: self.replicated.revision(),
            questions,
            confirmed: BTreeSet::new(),
            sent: self.now,
        });
        self.ask_voters();
    }

    fn ask_voters(&mut self) {
        let now = self.now;
        let Some(round) = self.reads.round.as_mut() else {
            return;
        };
        round.sent = now;
        let (view, number) = (self.view.number, round.number);
        let voters: Vec<_> = self
            .view
            .voters
            .iter()
            .map(|voter| voter.identity.clone())
            .collect();
        for voter in voters {
            match voter == self.me.identity {
                true => self.on_confirm(&voter, view, number),
                false => self.send_to(
                    &voter,
                    Message::Confirm {
                        view,
                        round: number,
                    },
                ),
            }
        }
    }

    /// A voter is asked whether it is still in the tail's view.
    pub(super) fn on_confirm(&mut self, from: &Identity, view: ViewNumber, round: u64) {
        let votes = self.view.voter(&self.me.identity).is_some();
        if view != self.view.number || self.is_sealed() || !votes {
            return;
        }
        match *from == self.me.identity {
            true => self.on_confirmed(from, view, round),
            false => self.send_to(from, Message::Confirmed { view, round }),
        }
    }

    /// A voter still is.
    pub(super) fn on_confirmed(&mut self, from: &Identity, view: ViewNumber, number: u64) {
        let votes = self.view.voter(from).is_some();
        let majority = self.view.majority();
        let Some(round) = self.reads.round.as_mut() else {
            return;
        };
        if view != self.view.number || number != round.number || !votes {
            return;
        }
        round.confirmed.insert(from.node.clone());
        if round.confirmed.len() < majority {
            return;
        }
        let Some(round) = self.reads.round.take() else {
            return;
        };
        for question in round.questions {
            match question.from == self.me.identity {
                true => self.on_read_at(question.read, round.revision),
                false => {
                    let answer = Message::ReadAt {
                        read: question.read,
                        revision: round.revision,
                    };
                    self.send_to(&question.from, answer);
                }
            }
        }
        self.start_round();
    }

    /// The tail's answer.
    pub(super) fn on_read_at(&mut self, read: u64, revision: Revision) {
        if let Some(asked) = self.reads.asked.get_mut(&read) {
            asked.at = Some(revision);
            self.finish_reads();
        }
    }

    /// Answers the reads whose revision has been reached here.
    pub(super) fn finish_reads(&mut self) {
        let revision = self.replicated.revision();
        let done = |asked: &Asked| asked.at.is_some_and(|at| at <= revision);
        let ready: Vec<_> = self
            .reads
            .asked
            .iter()
            .filter(|(_, asked)| done(asked))
            .map(|(read, _)| *read)
            .collect();
        for read in ready {
            self.reads.asked.remove(&read);
            self.effects.push(Effect::ReadReady(read));
        }
    }
}
