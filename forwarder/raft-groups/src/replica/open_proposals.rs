//! The proposals of this instance that are not answered yet.

use std::collections::VecDeque;

use super::entry_context::CommittedProposals;
use crate::{GroupEvent, GroupId, Incarnation, Term};

#[cfg(test)]
mod tests;

/// The number of unanswered proposals at which further proposals are refused.
const MAX_OPEN_PROPOSALS: usize = 4096;
/// The number of uncommitted proposal bytes above which raft refuses further proposals.
pub const MAX_UNCOMMITTED_BYTES: u64 = 64 << 20;

/// The unanswered proposals. They are answered in the order of their numbers: a refused proposal waits for the answers
/// to all earlier ones.
#[derive(Default)]
pub struct OpenProposals {
    proposals: VecDeque<Proposal>,
}

struct Proposal {
    number: u64,
    state: ProposalState,
}

enum ProposalState {
    /// Appended to the log, but not decided yet.
    Appended {
        index: u64,
        term: Term,
    },
    Committed,
    Discarded,
}

impl OpenProposals {
    /// Whether further proposals are refused.
    pub fn is_full(&self) -> bool {
        self.proposals.len() >= MAX_OPEN_PROPOSALS
    }

    /// Records that a proposal was appended to the log at `index` in `term`.
    pub fn appended(&mut self, number: u64, index: u64, term: Term) {
        let state = ProposalState::Appended { index, term };
        self.proposals.push_back(Proposal { number, state });
    }

    /// Records that a proposal was refused.
    pub fn refused(&mut self, number: u64) {
        self.proposals.push_back(Proposal {
            number,
            state: ProposalState::Discarded,
        });
    }

    /// Records that the entry at `index`, of `term`, is committed. Terms never decrease along the log, so a proposal
    /// that was appended at a higher index in an earlier term can never be committed. Such a proposal may have a higher
    /// index than later proposals of this instance.
    pub fn entry_committed(&mut self, index: u64, term: Term) {
        for proposal in &mut self.proposals {
            let ProposalState::Appended {
                index: own_index,
                term: own_term,
            } = proposal.state
            else {
                continue;
            };
            if own_index == index && own_term == term {
                proposal.state = ProposalState::Committed;
            } else if own_index == index || (own_index > index && own_term < term) {
                proposal.state = ProposalState::Discarded;
            } else if own_term >= term {
                break;
            }
        }
    }

    /// Records that a leader's snapshot up to `index`, whose last entry is of `term`, replaced the log.
    pub fn snapshot_installed(
        &mut self,
        me: Incarnation,
        index: u64,
        term: Term,
        committed: &CommittedProposals,
    ) {
        for proposal in &mut self.proposals {
            let ProposalState::Appended {
                index: own_index,
                term: own_term,
            } = proposal.state
            else {
                continue;
            };
            if committed.is_committed(me, own_term, proposal.number) {
                proposal.state = ProposalState::Committed;
            } else if own_index <= index || term > own_term {
                proposal.state = ProposalState::Discarded;
            }
        }
    }

    /// Moves the answers that are ready to `events`.
    pub fn take_answers(&mut self, group: GroupId, events: &mut Vec<GroupEvent>) {
        while let Some(Proposal { number, state }) = self.proposals.front() {
            let number = *number;
            let answer = match state {
                ProposalState::Appended { .. } => return,
                ProposalState::Committed => GroupEvent::Committed { group, number },
                ProposalState::Discarded => GroupEvent::Discarded { group, number },
            };
            events.push(answer);
            self.proposals.pop_front();
        }
    }
}
