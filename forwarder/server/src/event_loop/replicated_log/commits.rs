//! Proposals of an iteration's records, and their results: committed, discarded, or not known to a
//! deposed leader.

use std::io;

use plankhill_hot_restart::SubmitResponse;
use plankhill_replication::ReleasedIteration;

use super::{IterationEffects, ProposalId, ReplicatedLog};

impl ReplicatedLog {
    /// Whether an iteration waits for its commits.
    pub(in crate::event_loop) fn has_uncommitted_iterations(&self) -> bool {
        !self.pipeline.is_empty()
    }

    /// Proposes the records of the iteration; its effects are sent once the records are committed.
    pub(in crate::event_loop) fn propose(&mut self, effects: IterationEffects) {
        let mut waits_for = Vec::new();
        let mut bytes = 0;
        for (group, table) in &mut self.tables {
            let frames = table.take_unwritten_frames();
            if !frames.is_empty() {
                bytes += frames.len();
                waits_for.push((*group, self.proposals.propose(*group, &frames)));
            }
        }
        self.pipeline.push(waits_for, bytes, effects);
    }

    /// Submits queued proposals; false while there is no room for all of them.
    pub(in crate::event_loop) fn submit_proposals(&mut self) -> bool {
        let raft = &self.raft;
        self.proposals.submit(|request| raft.request(request))
    }

    /// Removes the next iteration from the pipeline, if all its records are committed or discarded.
    pub(in crate::event_loop) fn release(
        &mut self,
    ) -> Option<(IterationEffects, ReleasedIteration<()>)> {
        Some(self.pipeline.release()?.split())
    }

    /// Handles the commit of a proposal in a group that this process leads or led.
    ///
    /// # Errors
    /// The state folder's log, whose events are all committed now, cannot be cleared.
    pub(in crate::event_loop) fn on_committed(&mut self, proposal: ProposalId) -> io::Result<()> {
        self.respond_to_orphaned(proposal, SubmitResponse::Accepted);
        self.pipeline.committed(proposal.0, proposal.1);
        self.migration_committed(proposal)
    }

    /// Handles a proposal that will never take effect.
    pub(in crate::event_loop) fn on_discarded(&mut self, proposal: ProposalId) {
        self.respond_to_orphaned(proposal, SubmitResponse::Rejected(None));
        self.pipeline.discarded(proposal.0, proposal.1);
    }

    fn respond_to_orphaned(&mut self, proposal: ProposalId, response: SubmitResponse) {
        for orphaned in self
            .orphaned_responses
            .remove(&proposal)
            .into_iter()
            .flatten()
        {
            let _ = orphaned.response.try_send(response);
        }
    }
}
