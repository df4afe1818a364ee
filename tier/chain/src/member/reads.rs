//! Linearizable reads requested at this member. The tail answers with a revision
//! (`read_confirmation`); the read is ready once this member has applied that revision.

use std::collections::BTreeMap;

use plankhill_protocol::ids::Revision;

use crate::age::{age_of, remaining};
use crate::effect::{Effect, Millis};
use crate::message::Message;
use crate::state_machine::StateMachine;
use crate::timing::REQUEST_RETRY_INTERVAL;

use super::ChainMember;

/// Maximum number of pending reads; further reads fail immediately.
const MAX_PENDING_READS: usize = 1_024;

/// Reads that wait for the answer of the tail, or for operations to be applied.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingReads {
    pending: BTreeMap<u64, PendingRead>,
}

#[derive(Clone, Debug)]
struct PendingRead {
    deadline: Millis,
    sent_at: Option<Millis>,
    /// Revision in the answer of the tail; `None` until the answer arrives.
    revision: Option<Revision>,
}

impl PendingRead {
    fn is_due(&self, now: Millis) -> bool {
        if self.revision.is_some() {
            return false;
        }
        match self.sent_at {
            Some(sent_at) => now.saturating_sub(sent_at) >= REQUEST_RETRY_INTERVAL,
            None => true,
        }
    }
}

impl PendingReads {
    pub(super) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    fn is_full(&self) -> bool {
        self.pending.len() >= MAX_PENDING_READS
    }

    fn insert(&mut self, read_id: u64, deadline: Millis) {
        let read = PendingRead {
            deadline,
            sent_at: None,
            revision: None,
        };
        self.pending.insert(read_id, read);
    }

    /// Removes and returns the reads that match the condition.
    fn take_if(&mut self, condition: impl Fn(&PendingRead) -> bool) -> Vec<u64> {
        let mut taken = Vec::new();
        self.pending.retain(|read_id, read| {
            let is_taken = condition(read);
            if is_taken {
                taken.push(*read_id);
            }
            !is_taken
        });
        taken
    }

    /// Returns the reads that must be sent to the tail now, and marks them as sent.
    fn take_due(&mut self, now: Millis) -> Vec<u64> {
        let mut due = Vec::new();
        for (read_id, read) in &mut self.pending {
            if read.is_due(now) {
                read.sent_at = Some(now);
                due.push(*read_id);
            }
        }
        due
    }

    /// Returns a copy with times replaced by ages.
    pub(super) fn with_ages(&self, now: Millis) -> Self {
        let mut copy = self.clone();
        for read in copy.pending.values_mut() {
            read.deadline = remaining(read.deadline, now);
            read.sent_at = age_of(read.sent_at, now);
        }
        copy
    }

    fn reset_sent(&mut self) {
        for read in self.pending.values_mut() {
            read.sent_at = None;
        }
    }

    /// Records the answer of the tail; returns whether the read was pending.
    fn set_revision(&mut self, read_id: u64, revision: Revision) -> bool {
        match self.pending.get_mut(&read_id) {
            Some(read) => {
                read.revision = Some(revision);
                true
            }
            None => false,
        }
    }
}

impl<M: StateMachine> ChainMember<M> {
    /// Requests a state that includes every operation committed before this call. `read_id` must
    /// not have been used before. The result is [`Effect::ReadReady`] or [`Effect::ReadFailed`],
    /// the latter immediately if this member is partitioned or has too many pending reads.
    pub fn read(&mut self, read_id: u64, deadline: Millis, now: Millis) {
        self.advance_clock(now);
        if !self.is_connected(self.now) || self.reads.is_full() {
            self.outbox.push(Effect::ReadFailed(read_id));
            return;
        }
        self.reads.insert(read_id, deadline);
        self.send_due_reads();
    }

    /// Abandons the reads whose deadline has passed, or all reads if this member is partitioned,
    /// and sends the remaining ones that are due. At the tail, also resends the confirmation request
    /// if it is due. Called on each tick.
    pub(super) fn retry_reads(&mut self) {
        let now = self.now;
        let is_connected = self.is_connected(now);
        let failed = self
            .reads
            .take_if(|read| !is_connected || read.deadline <= now);
        for read_id in failed {
            self.outbox.push(Effect::ReadFailed(read_id));
        }
        self.send_due_reads();
        self.retry_confirmation();
    }

    /// Sends all unanswered reads to the new tail after a view change.
    pub(super) fn restart_reads(&mut self) {
        self.reads.reset_sent();
        self.send_due_reads();
    }

    fn send_due_reads(&mut self) {
        let Some(tail) = self.view.tail() else {
            return;
        };
        let tail = tail.identity.clone();
        let view = self.view.number;
        for read_id in self.reads.take_due(self.now) {
            match self.local.is(&tail) {
                true => self.on_read(&tail, view, read_id),
                false => self.send_to(&tail, Message::Read { view, read_id }),
            }
        }
    }

    /// Processes the answer of the tail.
    pub(super) fn on_read_at(&mut self, read_id: u64, revision: Revision) {
        if self.reads.set_revision(read_id, revision) {
            self.finish_reads();
        }
    }

    /// Completes the reads whose revision this member has applied.
    pub(super) fn finish_reads(&mut self) {
        let applied = self.log.committed();
        let is_ready = |read: &PendingRead| match read.revision {
            Some(revision) => revision <= applied,
            None => false,
        };
        for read_id in self.reads.take_if(is_ready) {
            self.outbox.push(Effect::ReadReady(read_id));
        }
    }
}
