//! Proposer of the next view (single-decree Paxos: one decision for each view number).
//!
//! `reconfiguration` decides whether and when this member proposes, `view_plan` which view. A
//! member has at most one attempt at a time; an attempt ends with a decision, with a higher ballot,
//! or after a timeout without a further vote, which depends on the disks of the voters
//! (`disk_speed`). After attempts that received too few votes, the next one is delayed by a longer
//! random backoff, so that concurrent proposers do not conflict repeatedly and one of them has time
//! to complete.

use std::collections::{BTreeMap, BTreeSet};

use plankhill_protocol::ids::{NodeId, Revision};

use crate::acceptor::Ballot;
use crate::age::{age, age_of, remaining};
use crate::effect::Millis;
use crate::message::Message;
#[cfg(feature = "planted-bugs")]
use crate::planted_bug::PlantedBug;
use crate::state_machine::StateMachine;
use crate::timing::{
    ATTEMPT_TIMEOUT, MAX_ATTEMPT_BACKOFF, PROPOSER_RANK_INTERVAL, VOTE_RETRY_INTERVAL,
};
use crate::view::{Identity, Member, View, ViewNumber};
use crate::vote::Vote;

use super::disk_speed::SYNCS_PER_ANSWER;
use super::ChainMember;

/// State of this member's attempts to reach agreement on the next view.
#[derive(Clone, Debug, Default)]
pub(super) struct Proposer {
    /// Highest round of all observed ballots.
    highest_round: u64,
    /// Earliest time of the next attempt.
    backoff_until: Millis,
    /// Time since which another view has been needed.
    needed_since: Option<Millis>,
    /// Time at which this member last observed a ballot, its own or another's.
    last_ballot_at: Option<Millis>,
    attempt: Option<Attempt>,
    /// Number of consecutive attempts in the current view that received too few votes.
    failed_attempts: u32,
}

/// Maximum number of times that the timeout and the backoff are doubled after attempts that
/// received too few votes.
const MAX_BACKOFF_EXPONENT: u32 = 3;

#[derive(Clone, Debug)]
struct Attempt {
    instance: ViewNumber,
    ballot: Ballot,
    started_at: Millis,
    sent_at: Millis,
    /// Time at which the attempt last made progress: it began, a vote was counted, or the second
    /// phase began.
    progress_at: Millis,
    phase: Phase,
}

#[derive(Clone, Debug)]
enum Phase {
    Preparing(Promises),
    Accepting {
        view: View,
        accepted_by: BTreeSet<NodeId>,
    },
}

/// Promises of one attempt, by machine.
pub(super) type Promises = BTreeMap<NodeId, Promise>;

/// Promise of one voter.
#[derive(Clone, Debug)]
pub(super) struct Promise {
    pub(super) identity: Identity,
    /// Revision of the last operation of the voter, which takes no further operations in the
    /// current view.
    pub(super) last_revision: Revision,
    accepted: Option<(Ballot, View)>,
}

impl Proposer {
    /// Returns whether no view is needed and no attempt is in progress.
    pub(super) fn is_idle(&self) -> bool {
        self.attempt.is_none() && self.needed_since.is_none()
    }

    /// Records a ballot of any proposer.
    pub(super) fn observe_ballot(&mut self, ballot: &Ballot, now: Millis) {
        self.highest_round = self.highest_round.max(ballot.round);
        self.last_ballot_at = Some(now);
    }

    /// Time at which this member last observed a ballot in the current view.
    pub(super) fn last_ballot_at(&self) -> Option<Millis> {
        self.last_ballot_at
    }

    /// Number of times that the timeout and the backoff are doubled.
    fn backoff_exponent(&self) -> u32 {
        self.failed_attempts.min(MAX_BACKOFF_EXPONENT)
    }

    /// Returns a copy with times replaced by ages.
    pub(super) fn with_ages(&self, now: Millis) -> Self {
        let mut copy = self.clone();
        copy.backoff_until = remaining(self.backoff_until, now);
        copy.needed_since = age_of(self.needed_since, now);
        copy.last_ballot_at = age_of(self.last_ballot_at, now);
        if let Some(attempt) = &mut copy.attempt {
            attempt.started_at = age(attempt.started_at, now);
            attempt.sent_at = age(attempt.sent_at, now);
            attempt.progress_at = age(attempt.progress_at, now);
        }
        copy
    }

    /// Discards the state of attempts after a later view was adopted.
    pub(super) fn reset(&mut self, now: Millis) {
        *self = Self {
            backoff_until: now,
            ..Self::default()
        };
    }

    /// The attempt in progress, if it is the one that a vote answers.
    fn attempt_with(&mut self, instance: ViewNumber, ballot: &Ballot) -> Option<&mut Attempt> {
        let attempt = self.attempt.as_mut()?;
        (attempt.instance == instance && attempt.ballot == *ballot).then_some(attempt)
    }
}

impl Attempt {
    /// Request message of the current phase.
    fn message(&self) -> Message {
        match &self.phase {
            Phase::Preparing(_) => Message::Prepare {
                instance: self.instance,
                ballot: self.ballot.clone(),
            },
            Phase::Accepting { view, .. } => Message::Accept {
                ballot: self.ballot.clone(),
                view: view.clone(),
            },
        }
    }

    /// Returns whether the current phase has fewer votes than the quorum.
    fn lacks_votes(&self, quorum: usize) -> bool {
        self.answered_by().len() < quorum
    }

    /// Voters that have answered the request of the current phase.
    fn answered_by(&self) -> BTreeSet<NodeId> {
        match &self.phase {
            Phase::Preparing(promises) => promises.keys().cloned().collect(),
            Phase::Accepting { accepted_by, .. } => accepted_by.clone(),
        }
    }
}

/// The view accepted with the highest ballot among the promises. It may have been decided already,
/// so no other view may be proposed.
fn highest_accepted_view(promises: &Promises) -> Option<View> {
    let accepted = promises
        .values()
        .filter_map(|promise| promise.accepted.as_ref());
    let (_, view) = accepted.max_by(|one, other| one.0.cmp(&other.0))?;
    Some(view.clone())
}

impl<M: StateMachine> ChainMember<M> {
    /// Starts, retries, continues or abandons an attempt; called on each tick.
    pub(super) fn drive_proposer(&mut self) {
        let Some(attempt) = &self.proposer.attempt else {
            self.begin_attempt_if_due();
            return;
        };
        let timeout = self.with_syncs(ATTEMPT_TIMEOUT, SYNCS_PER_ANSWER);
        let timeout = timeout << self.proposer.backoff_exponent();
        if self.now.saturating_sub(attempt.progress_at) >= timeout {
            self.abandon_attempt();
            return;
        }
        if self.now.saturating_sub(attempt.sent_at) >= VOTE_RETRY_INTERVAL {
            self.send_to_electors();
        }
        self.conclude_preparation();
    }

    fn begin_attempt_if_due(&mut self) {
        let Some(rank) = self.proposer_rank() else {
            self.proposer.needed_since = None;
            return;
        };
        let needed_since = *self.proposer.needed_since.get_or_insert(self.now);
        let due_at = needed_since + rank as Millis * PROPOSER_RANK_INTERVAL;
        if self.now >= due_at.max(self.proposer.backoff_until) {
            self.begin_attempt();
        }
    }

    fn begin_attempt(&mut self) {
        let highest_round = self
            .proposer
            .highest_round
            .max(self.acceptor.promised_round());
        let round = highest_round + 1;
        self.proposer.highest_round = round;
        self.proposer.attempt = Some(Attempt {
            instance: self.acceptor.instance,
            ballot: Ballot {
                round,
                proposer: self.local.identity().node.clone(),
            },
            started_at: self.now,
            sent_at: self.now,
            progress_at: self.now,
            phase: Phase::Preparing(Promises::new()),
        });
        self.send_to_electors();
    }

    /// Ends the attempt and sets a random backoff. An attempt that received enough votes, but could
    /// not choose a view to propose, does not lengthen the timeout and the backoff of later
    /// attempts.
    fn abandon_attempt(&mut self) {
        let quorum = self.quorum();
        let attempt = self.proposer.attempt.take();
        if attempt.is_some_and(|attempt| attempt.lacks_votes(quorum)) {
            self.proposer.failed_attempts = self.proposer.failed_attempts.saturating_add(1);
        }
        let max_backoff = self.with_syncs(MAX_ATTEMPT_BACKOFF, SYNCS_PER_ANSWER);
        let max_backoff = max_backoff << self.proposer.backoff_exponent();
        self.proposer.backoff_until = self.now + 1 + self.rng.below(max_backoff);
    }

    /// Sends the request of the current phase to every elector that has not answered it.
    fn send_to_electors(&mut self) {
        let now = self.now;
        let Some(attempt) = self.proposer.attempt.as_mut() else {
            return;
        };
        attempt.sent_at = now;
        let message = attempt.message();
        let answered_by = attempt.answered_by();
        for elector in self.electors() {
            if answered_by.contains(&elector.identity.node) {
                continue;
            }
            match self.local.is(&elector.identity) {
                true => self.receive(&elector.identity, message.clone(), now),
                false => self.outbox.send(elector.address, message.clone()),
            }
        }
    }

    /// All known members that vote on the next view.
    pub(super) fn electors(&self) -> Vec<Member> {
        if self.view.number.is_founded() {
            return self.view.voters.clone();
        }
        self.founder_electors()
    }

    /// Returns whether an identity votes on the next view: the voters of the current view do, or
    /// the founders before the first view.
    pub(super) fn is_elector(&self, identity: &Identity) -> bool {
        match self.view.number.is_founded() {
            true => self.view.voter(identity).is_some(),
            false => self.is_founder(identity),
        }
    }

    /// Number of votes needed to decide the next view.
    pub(super) fn quorum(&self) -> usize {
        match self.local.founders() {
            Some(founders) if !self.view.number.is_founded() => founders.len() / 2 + 1,
            _ => self.view.majority(),
        }
    }

    /// Processes an answer to this member's attempt.
    pub(super) fn on_vote(&mut self, from: &Identity, vote: Vote) {
        if !self.is_elector(from) {
            return;
        }
        match vote {
            Vote::Promise {
                instance,
                ballot,
                accepted,
                last_revision,
            } => {
                let promise = Promise {
                    identity: from.clone(),
                    last_revision,
                    accepted,
                };
                self.on_promise(instance, &ballot, promise);
            }
            Vote::Refuse { instance, promised } => self.on_refusal(instance, &promised),
            Vote::Accepted { instance, ballot } => self.on_accepted(from, instance, &ballot),
        }
    }

    fn on_refusal(&mut self, instance: ViewNumber, promised: &Ballot) {
        let is_superseded = match &self.proposer.attempt {
            Some(attempt) => attempt.instance == instance && attempt.ballot < *promised,
            None => false,
        };
        if is_superseded {
            self.proposer.observe_ballot(promised, self.now);
            self.abandon_attempt();
        }
    }

    fn on_promise(&mut self, instance: ViewNumber, ballot: &Ballot, promise: Promise) {
        let Some(attempt) = self.proposer.attempt_with(instance, ballot) else {
            return;
        };
        if let Phase::Preparing(promises) = &mut attempt.phase {
            let node = promise.identity.node.clone();
            if promises.insert(node, promise).is_none() {
                attempt.progress_at = self.now;
            }
            self.conclude_preparation();
        }
    }

    /// Starts the second phase once a quorum, including this member itself, has promised. Proposes
    /// the view that may have been decided already, or else the view that this member plans. The
    /// promise of this member is on disk by then, so that no later run of the process uses the same
    /// ballot for another view.
    fn conclude_preparation(&mut self) {
        let Some(attempt) = &self.proposer.attempt else {
            return;
        };
        let Phase::Preparing(promises) = &attempt.phase else {
            return;
        };
        let has_own_promise = promises.contains_key(&self.local.identity().node);
        #[cfg(feature = "planted-bugs")]
        let has_own_promise = has_own_promise || self.has_bug(PlantedBug::OwnPromiseNotAwaited);
        if promises.len() < self.quorum() || !has_own_promise {
            return;
        }
        let waited = self.now.saturating_sub(attempt.started_at);
        let chosen = highest_accepted_view(promises);
        #[cfg(feature = "planted-bugs")]
        let chosen = chosen.filter(|_| !self.has_bug(PlantedBug::AcceptedViewForgotten));
        let planned = chosen.or_else(|| self.plan_view(promises, waited));
        let Some(view) = planned else {
            return;
        };
        if let Some(attempt) = &mut self.proposer.attempt {
            attempt.progress_at = self.now;
            attempt.phase = Phase::Accepting {
                view,
                accepted_by: BTreeSet::new(),
            };
        }
        self.send_to_electors();
    }

    fn on_accepted(&mut self, from: &Identity, instance: ViewNumber, ballot: &Ballot) {
        let quorum = self.quorum();
        let Some(attempt) = self.proposer.attempt_with(instance, ballot) else {
            return;
        };
        let Phase::Accepting { view, accepted_by } = &mut attempt.phase else {
            return;
        };
        if accepted_by.insert(from.node.clone()) {
            attempt.progress_at = self.now;
        }
        if accepted_by.len() < quorum {
            return;
        }
        let view = view.clone();
        for contact in self.contacts() {
            self.outbox.send(contact, Message::Decided(view.clone()));
        }
        self.adopt_view(view);
    }
}
