//! Commit of operations: the tail commits, every member applies, outcomes are returned to the
//! proposing members, and snapshots shorten the log.

use std::sync::Arc;

use plankhill_protocol::ids::Revision;

use crate::entry::Entry;
use crate::message::Message;
use crate::outbox::AfterSync;
use crate::state_machine::StateMachine;

use super::ChainMember;

impl<M: StateMachine> ChainMember<M> {
    /// Commits the operations on the disk of the tail. They are on every disk of the chain, and so
    /// committed if the chain has the required length.
    pub(super) fn commit_at_tail(&mut self) {
        let required = self.local.required_chain_len(self.view.voters.len());
        if self.view.chain.len() < required {
            return;
        }
        let revision = self.log.persisted().revision;
        if revision <= self.log.committed() {
            return;
        }
        self.commit_to(revision);
        let view = self.view.number;
        for contact in self.contacts() {
            self.outbox
                .send(contact, Message::Committed { view, revision });
        }
    }

    /// Applies the operations in the log up to a revision.
    pub(super) fn commit_to(&mut self, revision: Revision) {
        while self.log.committed() < revision {
            let Some((entry, outcome)) = self.log.apply_next() else {
                return;
            };
            if self.is_origin_of(&entry) || self.is_tail() {
                self.send_outcome(&entry, outcome);
            }
        }
        self.finish_reads();
        self.compact_log_if_due();
    }

    fn is_origin_of(&self, entry: &Entry) -> bool {
        entry.origin == self.local.identity().node
    }

    /// Sends the outcome of an operation to the member that proposed it. If the outcome is lost, a
    /// retry of the proposal requests it again.
    pub(super) fn send_outcome(&mut self, entry: &Entry, outcome: Arc<[u8]>) {
        let request = entry.request;
        if self.is_origin_of(entry) {
            self.on_outcome(request, outcome);
            return;
        }
        if let Some(origin) = self.failure_detector.peer_on(&entry.origin) {
            let address = origin.member().address;
            self.outbox
                .send(address, Message::Outcome { request, outcome });
        }
    }

    fn compact_log_if_due(&mut self) {
        if let Some(writes) = self.log.compact_if_due() {
            self.persist(writes, AfterSync::Nothing);
        }
    }
}
