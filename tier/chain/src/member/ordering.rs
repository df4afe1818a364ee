//! Ordering of proposals at the head, which assigns a revision to each of them.

use crate::entry::Entry;
use crate::message::Message;
use crate::state_machine::StateMachine;
use crate::view::{Identity, ViewNumber};

use super::ChainMember;

/// Maximum number of uncommitted operations; the head takes no further ones.
const MAX_UNCOMMITTED_OPERATIONS: u64 = 1_024;

impl<M: StateMachine> ChainMember<M> {
    /// Processes a proposal at the head, or at another chain member, which forwards it to the head:
    /// the sender may reach that member but not the head.
    pub(super) fn on_forward(&mut self, from: &Identity, view: ViewNumber, entry: Entry) {
        if view != self.view.number || self.rejects_operations() || !self.is_in_chain() {
            return;
        }
        if let Some(outcome) = self.log.outcome(entry.request) {
            self.send_outcome(&entry, outcome);
        } else if self.is_head() {
            self.order(entry);
        } else if from.node == entry.origin {
            self.send_to_head(Message::Forward { view, entry });
        }
    }

    /// Appends a proposal to the log, unless the log already contains it. If a proposal is not
    /// appended, the proposing member sends it again.
    fn order(&mut self, entry: Entry) {
        let Some(uncommitted) = self.log.uncommitted() else {
            // The log ends before the last committed operation, so it has lost entries; no
            // operation can be appended to it.
            return;
        };
        if uncommitted < MAX_UNCOMMITTED_OPERATIONS
            && self.is_disk_available()
            && !self.log.contains_uncommitted(entry.request)
        {
            self.append(vec![entry]);
        }
    }

    fn send_to_head(&mut self, message: Message) {
        let Some(head) = self.view.head() else {
            return;
        };
        let head = head.identity.clone();
        self.send_to(&head, message);
    }
}
