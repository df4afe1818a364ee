//! Confirmation of reads at the tail.
//!
//! A read is answered once a majority of the voters has confirmed, after the read arrived, that
//! they are still in the view of the tail. If a later view had been decided before, at least one
//! voter of this majority would have accepted it and would not confirm.

use std::collections::BTreeSet;

use plankhill_protocol::ids::{NodeId, Revision};

use crate::age::age;
use crate::effect::Millis;
use crate::message::Message;
#[cfg(feature = "planted-bugs")]
use crate::planted_bug::PlantedBug;
use crate::state_machine::StateMachine;
use crate::timing::REQUEST_RETRY_INTERVAL;
use crate::view::{Identity, ViewNumber};

use super::ChainMember;

/// Maximum number of reads that wait for the next confirmation; further reads are dropped, and
/// their members retry them.
const MAX_QUEUED_READS: usize = 1_024;

/// The confirmation in progress, and the reads that arrived after it began.
#[derive(Clone, Debug)]
pub(super) struct ReadConfirmation {
    queued: Vec<QueuedRead>,
    open: Option<Confirmation>,
    last_id: u64,
}

/// A read requested by this or another member.
#[derive(Clone, Debug)]
struct QueuedRead {
    from: Identity,
    read_id: u64,
}

/// A request to the voters to confirm the view, with the reads that wait for a majority of them.
#[derive(Clone, Debug)]
struct Confirmation {
    id: u64,
    /// Revision of the last operation committed when the confirmation began, after all of its reads
    /// had arrived.
    revision: Revision,
    reads: Vec<QueuedRead>,
    confirmed_by: BTreeSet<NodeId>,
    sent_at: Millis,
}

impl ReadConfirmation {
    /// Creates an empty queue. Confirmations are numbered starting from a random number, so that
    /// answers to a previous run of the process do not count.
    pub(super) fn new(last_id: u64) -> Self {
        Self {
            queued: Vec::new(),
            open: None,
            last_id,
        }
    }

    /// Returns whether no confirmation is in progress.
    pub(super) fn is_idle(&self) -> bool {
        self.open.is_none()
    }

    /// Discards all reads after a view change; the requesting members send them to the new tail.
    pub(super) fn reset(&mut self) {
        self.queued.clear();
        self.open = None;
    }

    /// Returns a copy with the time replaced by its age.
    pub(super) fn with_ages(&self, now: Millis) -> Self {
        let mut copy = self.clone();
        if let Some(open) = &mut copy.open {
            open.sent_at = age(open.sent_at, now);
        }
        copy
    }

    fn is_full(&self) -> bool {
        self.queued.len() >= MAX_QUEUED_READS
    }

    /// Begins a confirmation for all queued reads.
    fn begin(&mut self, revision: Revision, now: Millis) {
        self.last_id += 1;
        self.open = Some(Confirmation {
            id: self.last_id,
            revision,
            reads: std::mem::take(&mut self.queued),
            confirmed_by: BTreeSet::new(),
            sent_at: now,
        });
    }

    /// Counts the answer of a voter; returns the confirmation if this answer completes it.
    fn confirm(&mut self, id: u64, voter: &NodeId, majority: usize) -> Option<Confirmation> {
        let open = self.open.as_mut()?;
        if open.id != id {
            return None;
        }
        open.confirmed_by.insert(voter.clone());
        if open.confirmed_by.len() < majority {
            return None;
        }
        self.open.take()
    }
}

impl<M: StateMachine> ChainMember<M> {
    /// Queues a read at the tail.
    pub(super) fn on_read(&mut self, from: &Identity, view: ViewNumber, read_id: u64) {
        if view != self.view.number || !self.is_tail() || self.read_confirmation.is_full() {
            return;
        }
        self.read_confirmation.queued.push(QueuedRead {
            from: from.clone(),
            read_id,
        });
        if self.read_confirmation.is_idle() {
            self.begin_confirmation();
        }
    }

    fn begin_confirmation(&mut self) {
        if self.read_confirmation.queued.is_empty() {
            return;
        }
        self.read_confirmation.begin(self.log.committed(), self.now);
        self.send_confirm_requests();
    }

    /// Resends the confirmation request if it is due; called on each tick.
    pub(super) fn retry_confirmation(&mut self) {
        let Some(open) = &self.read_confirmation.open else {
            return;
        };
        if self.now.saturating_sub(open.sent_at) >= REQUEST_RETRY_INTERVAL {
            self.send_confirm_requests();
        }
    }

    fn send_confirm_requests(&mut self) {
        let Some(open) = self.read_confirmation.open.as_mut() else {
            return;
        };
        open.sent_at = self.now;
        let confirmation_id = open.id;
        let view = self.view.number;
        for voter in self.view.voters.clone() {
            let voter = voter.identity;
            if self.local.is(&voter) {
                self.on_confirm(&voter, view, confirmation_id);
                continue;
            }
            let confirm = Message::Confirm {
                view,
                confirmation_id,
            };
            self.send_to(&voter, confirm);
        }
    }

    /// Answers the tail if this voter is still in the tail's view.
    pub(super) fn on_confirm(&mut self, from: &Identity, view: ViewNumber, confirmation_id: u64) {
        let is_voter = self.view.voter(self.local.identity()).is_some();
        if view != self.view.number || self.acceptor.is_sealed() || !is_voter {
            return;
        }
        if self.local.is(from) {
            self.on_confirmed(from, view, confirmation_id);
            return;
        }
        let confirmed = Message::Confirmed {
            view,
            confirmation_id,
        };
        self.send_to(from, confirmed);
    }

    /// Processes the confirmation of a voter.
    pub(super) fn on_confirmed(&mut self, from: &Identity, view: ViewNumber, confirmation_id: u64) {
        if view != self.view.number || self.view.voter(from).is_none() {
            return;
        }
        let majority = self.view.majority();
        #[cfg(feature = "planted-bugs")]
        let majority = match self.has_bug(PlantedBug::ReadQuorumTooSmall) {
            true => majority - 1,
            false => majority,
        };
        let confirmed = self
            .read_confirmation
            .confirm(confirmation_id, &from.node, majority);
        let Some(confirmation) = confirmed else {
            return;
        };
        let revision = confirmation.revision;
        for QueuedRead { from, read_id } in confirmation.reads {
            match self.local.is(&from) {
                true => self.on_read_at(read_id, revision),
                false => self.send_to(&from, Message::ReadAt { read_id, revision }),
            }
        }
        self.begin_confirmation();
    }
}
