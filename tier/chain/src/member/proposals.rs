//! Proposals made at this member that wait for their outcome.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::age::{age_of, remaining};
use crate::effect::{Effect, Millis};
use crate::entry::{Entry, RequestNumber};
use crate::message::Message;
use crate::state_machine::StateMachine;
use crate::timing::REQUEST_RETRY_INTERVAL;

use super::ChainMember;

/// Maximum number of pending proposals; further proposals fail immediately.
const MAX_PENDING_PROPOSALS: usize = 4_096;

/// Proposals that wait for their outcome.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingProposals {
    pending: BTreeMap<RequestNumber, PendingProposal>,
}

#[derive(Clone, Debug)]
struct PendingProposal {
    entry: Entry,
    deadline: Millis,
    sent_at: Option<Millis>,
}

impl PendingProposal {
    fn is_due(&self, now: Millis) -> bool {
        match self.sent_at {
            Some(sent_at) => now.saturating_sub(sent_at) >= REQUEST_RETRY_INTERVAL,
            None => true,
        }
    }
}

/// A proposal that must be sent now.
struct DueProposal {
    entry: Entry,
    attempt: Attempt,
}

/// Whether a proposal is sent for the first time in this view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Attempt {
    First,
    Retry,
}

impl PendingProposals {
    pub(super) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    fn is_full(&self) -> bool {
        self.pending.len() >= MAX_PENDING_PROPOSALS
    }

    fn insert(&mut self, entry: Entry, deadline: Millis) {
        let proposal = PendingProposal {
            entry,
            deadline,
            sent_at: None,
        };
        self.pending.insert(proposal.entry.request, proposal);
    }

    /// Removes a proposal; returns whether it was pending.
    fn complete(&mut self, request: RequestNumber) -> bool {
        self.pending.remove(&request).is_some()
    }

    /// Removes and returns the proposals whose deadline has passed.
    fn take_expired(&mut self, now: Millis) -> Vec<RequestNumber> {
        let mut expired = Vec::new();
        self.pending.retain(|request, proposal| {
            let is_expired = proposal.deadline <= now;
            if is_expired {
                expired.push(*request);
            }
            !is_expired
        });
        expired
    }

    /// Removes and returns all proposals.
    fn take_all(&mut self) -> Vec<RequestNumber> {
        std::mem::take(&mut self.pending).into_keys().collect()
    }

    /// Returns the proposals that must be sent now, and marks them as sent.
    fn take_due(&mut self, now: Millis) -> Vec<DueProposal> {
        let mut due = Vec::new();
        for proposal in self.pending.values_mut() {
            if !proposal.is_due(now) {
                continue;
            }
            let attempt = match proposal.sent_at {
                None => Attempt::First,
                Some(_) => Attempt::Retry,
            };
            proposal.sent_at = Some(now);
            due.push(DueProposal {
                entry: proposal.entry.clone(),
                attempt,
            });
        }
        due
    }

    /// Returns a copy with times replaced by ages.
    pub(super) fn with_ages(&self, now: Millis) -> Self {
        let mut copy = self.clone();
        for proposal in copy.pending.values_mut() {
            proposal.deadline = remaining(proposal.deadline, now);
            proposal.sent_at = age_of(proposal.sent_at, now);
        }
        copy
    }

    fn reset_sent(&mut self) {
        for proposal in self.pending.values_mut() {
            proposal.sent_at = None;
        }
    }
}

impl<M: StateMachine> ChainMember<M> {
    /// Proposes an operation, which is abandoned at `deadline`. The result is
    /// [`Effect::ProposalCommitted`] or [`Effect::ProposalFailed`], the latter immediately if this
    /// member is partitioned or has too many pending proposals.
    pub fn propose(
        &mut self,
        request: RequestNumber,
        operation: Arc<[u8]>,
        deadline: Millis,
        now: Millis,
    ) {
        self.advance_clock(now);
        if let Some(outcome) = self.log.outcome(request) {
            self.outbox
                .push(Effect::ProposalCommitted { request, outcome });
            return;
        }
        if !self.is_connected(self.now) || self.proposals.is_full() {
            self.outbox.push(Effect::ProposalFailed(request));
            return;
        }
        let entry = Entry {
            request,
            origin: self.local.identity().node.clone(),
            operation,
        };
        self.proposals.insert(entry, deadline);
        self.send_due_proposals();
    }

    /// Abandons the proposals whose deadline has passed, or all proposals if this member is
    /// partitioned, and sends the remaining ones that are due; called on each tick.
    pub(super) fn retry_proposals(&mut self) {
        let failed = match self.is_connected(self.now) {
            true => self.proposals.take_expired(self.now),
            false => self.proposals.take_all(),
        };
        for request in failed {
            self.outbox.push(Effect::ProposalFailed(request));
        }
        self.send_due_proposals();
    }

    /// Sends all pending proposals to the new head after a view change.
    pub(super) fn restart_proposals(&mut self) {
        self.proposals.reset_sent();
        self.send_due_proposals();
    }

    /// Sends the proposals that are due: on the first attempt only to the head, on a retry to the
    /// complete chain, because the head may be the only member that this one cannot reach.
    fn send_due_proposals(&mut self) {
        let Some(head) = self.view.head() else {
            return;
        };
        let head = head.identity.clone();
        let view = self.view.number;
        for DueProposal { entry, attempt } in self.proposals.take_due(self.now) {
            if self.local.is(&head) {
                self.on_forward(&head, view, entry);
                continue;
            }
            let forward = Message::Forward { view, entry };
            match attempt {
                Attempt::First => self.send_to(&head, forward),
                Attempt::Retry => self.send_to_chain(&forward),
            }
        }
    }

    fn send_to_chain(&mut self, message: &Message) {
        let members: Vec<_> = self.view.chain_members().cloned().collect();
        for member in members {
            if !self.local.is(&member.identity) {
                self.send_to(&member.identity, message.clone());
            }
        }
    }

    /// Completes a proposal that was committed.
    pub(super) fn on_outcome(&mut self, request: RequestNumber, outcome: Arc<[u8]>) {
        if self.proposals.complete(request) {
            self.outbox
                .push(Effect::ProposalCommitted { request, outcome });
        }
    }
}
