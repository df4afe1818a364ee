//! Committed operations: the tail commits, every member applies, outcomes go back, snapshots
//! shorten the log.

use std::sync::Arc;

use plankhill_protocol::ids::Revision;

use crate::entry::Entry;
use crate::message::Message;
use crate::outbox::AfterSync;
use crate::state_machine::StateMachine;

use super::ChainMember;

impl<M: StateMachine> ChainMember<M> {
    /// What the tail has on disk is on every disk of the chain, and so committed where the chain is
    /// long enough.
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

    /// Applies operations up to a revision; they are in the log.
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

    /// Lets the member that proposed an operation know the outcome. A lost outcome is asked for
    /// again by a retry of the proposal.
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
