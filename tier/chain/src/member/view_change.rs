//! Adoption of a decided view, and restart with the view on disk.

use plankhill_protocol::ids::Revision;

use crate::acceptor::Acceptor;
use crate::effect::LogPosition;
use crate::outbox::AfterSync;
use crate::state_machine::StateMachine;
use crate::storage::Write;
use crate::view::View;

use super::replication::SuccessorProgress;
use super::ChainMember;

impl<M: StateMachine> ChainMember<M> {
    /// Restores the state after a start: applies the operations that are known to be committed. If
    /// this member is the tail, these are all operations in its log, because every member before
    /// the tail in the chain has them on disk as well.
    pub(super) fn resume(&mut self, committed: Revision) {
        let last_committed = match self.is_tail() {
            true => self.log.last(),
            false => committed,
        };
        self.commit_to(last_committed);
        self.successor = SuccessorProgress::caught_up_to(self.log.last());
    }

    /// Adopts a later view. A member that was in the previous view truncates its log at the base,
    /// up to which all operations are committed; a member that skipped a view keeps only operations
    /// that are known to be committed.
    pub(super) fn adopt_view(&mut self, view: View) {
        if view.number <= self.view.number {
            return;
        }
        let is_next_view = view.number == self.view.number.next();
        let last_kept = match is_next_view {
            true => view.base.min(self.log.last()),
            false => self.log.committed(),
        };
        self.log.truncate(last_kept);
        self.acceptor = Acceptor::new(view.number.next());
        self.view = view;
        self.persist_view(last_kept);
        if is_next_view {
            self.commit_to(last_kept);
        }
        self.begin_view();
    }

    /// Writes the view, the truncation and the acceptor in one batch: after a restart the member
    /// never has the view with operations that are void in it, nor with promises for an older view.
    fn persist_view(&mut self, last_kept: Revision) {
        let writes = vec![
            Write::View(self.view.clone()),
            Write::Truncate(last_kept),
            Write::Acceptor(self.acceptor.clone()),
        ];
        let position = LogPosition {
            view: self.view.number,
            revision: last_kept,
        };
        self.acceptor_ticket = self.persist(writes, AfterSync::ViewAdopted(position));
    }

    fn begin_view(&mut self) {
        self.proposer.reset(self.now);
        self.successor = SuccessorProgress::caught_up_to(self.log.last());
        self.catch_up.reset();
        self.failure_detector.clear_confirmations();
        self.freshness.reset();
        self.restart_proposals();
        self.read_confirmation.reset();
        self.restart_reads();
        self.send_heartbeats();
    }
}
