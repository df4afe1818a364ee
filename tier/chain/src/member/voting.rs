//! Answers of a voter in the agreement on the next view.
//!
//! Promises and acceptances are on disk before they are sent, so that a voter that restarts keeps
//! them. A repeated request is answered from the state on disk without another write: on a slow
//! disk proposers repeat their requests several times during one sync.

use crate::acceptor::Ballot;
use crate::message::Message;
use crate::outbox::AfterSync;
use crate::state_machine::StateMachine;
use crate::storage::Write;
use crate::view::{Identity, View, ViewNumber};
use crate::vote::Vote;

use super::ChainMember;

impl<M: StateMachine> ChainMember<M> {
    /// Processes a request of the first phase. After its promise, this member takes no further
    /// operations in its current view, so that the revision in the promise stays correct until the
    /// next view begins.
    pub(super) fn on_prepare(&mut self, from: &Identity, instance: ViewNumber, ballot: Ballot) {
        if !self.admit_ballot(from, instance, &ballot) {
            return;
        }
        let was_sealed = self.acceptor.is_sealed();
        let is_repeated = self.acceptor.has_promised(&ballot);
        self.acceptor.promise(ballot.clone());
        let promise = Vote::Promise {
            instance,
            ballot,
            accepted: self.acceptor.accepted.clone(),
            last_revision: self.log.last(),
        };
        match is_repeated {
            true => self.repeat_vote(from, promise),
            false => self.send_vote_when_persisted(from, promise),
        }
        if !was_sealed {
            self.send_heartbeats();
        }
    }

    /// Processes a request of the second phase.
    pub(super) fn on_accept(&mut self, from: &Identity, ballot: Ballot, view: View) {
        let instance = view.number;
        if !self.admit_ballot(from, instance, &ballot) {
            return;
        }
        let is_repeated = self.acceptor.has_accepted(&ballot);
        self.acceptor.accept(ballot.clone(), view);
        let accepted = Vote::Accepted { instance, ballot };
        match is_repeated {
            true => self.repeat_vote(from, accepted),
            false => self.send_vote_when_persisted(from, accepted),
        }
    }

    /// Returns whether this member votes on the view and has promised no higher ballot. A proposer
    /// whose view is too old receives the decided view; one whose ballot is too low receives a
    /// refusal.
    fn admit_ballot(&mut self, from: &Identity, instance: ViewNumber, ballot: &Ballot) -> bool {
        if instance <= self.view.number {
            let decided = Message::Decided(self.view.clone());
            self.send_to(from, decided);
            return false;
        }
        let votes_on_instance =
            instance == self.acceptor.instance && self.is_elector(self.local.identity());
        if !votes_on_instance || !self.is_elector(from) {
            return false;
        }
        self.proposer.observe_ballot(ballot, self.now);
        if !self.is_disk_available() {
            // The vote could not be written; the proposer sends its request again.
            return false;
        }
        let Some(promised) = self.acceptor.higher_promise(ballot).cloned() else {
            return true;
        };
        self.send_vote(from, Vote::Refuse { instance, promised });
        false
    }

    fn send_vote(&mut self, to: &Identity, vote: Vote) {
        match self.local.is(to) {
            true => self.on_vote(to, vote),
            false => self.send_to(to, vote.into()),
        }
    }

    /// Answers a repeated request. If the first answer still waits for its sync, nothing is sent
    /// now: that answer is sent after the sync.
    fn repeat_vote(&mut self, to: &Identity, vote: Vote) {
        if self.outbox.is_synced(self.acceptor_ticket) {
            self.send_vote(to, vote);
        }
    }

    /// Writes the acceptor to disk, and counts or sends the vote after the sync.
    fn send_vote_when_persisted(&mut self, to: &Identity, vote: Vote) {
        let after = if self.local.is(to) {
            AfterSync::CountVote(vote)
        } else {
            match self.address_of(to) {
                Some(address) => AfterSync::Send(address, vote.into()),
                None => AfterSync::Nothing,
            }
        };
        let writes = vec![Write::Acceptor(self.acceptor.clone())];
        self.acceptor_ticket = self.persist(writes, after);
    }
}
