//! The proposals of this instance that have no answer yet.

use std::collections::VecDeque;

use super::entry_context::CommittedProposals;
use crate::{GroupEvent, GroupId, Incarnation, Term};

#[cfg(test)]
mod tests;

/// Proposals without an answer; at that many, further ones are refused.
const MAX_OPEN_PROPOSALS: usize = 4096;
/// Bytes of proposals that are not committed; past them raft refuses further ones.
pub const MAX_UNCOMMITTED_BYTES: u64 = 64 << 20;

/// Answered in the order of their numbers: one that was refused at once waits for those before it.
#[derive(Default)]
pub struct OpenProposals {
    proposals: VecDeque<Proposal>,
}

struct Proposal {
    number: u64,
    state: ProposalState,
}

enum ProposalState {
    /// Appended to the log, and not decided.
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

    /// A proposal was appended to the log at `index` in `term`.
    pub fn appended(&mut self, number: u64, index: u64, term: Term) {
        let state = ProposalState::Appended { index, term };
        self.proposals.push_back(Proposal { number, state });
    }

    /// A proposal was refused.
    pub fn refused(&mut self, number: u64) {
        self.proposals.push_back(Proposal {
            number,
            state: ProposalState::Discarded,
        });
    }

    /// The entry at `index` is committed, and it is of `term`. Terms never fall along the log, so a proposal that an
    /// earlier term appended further on never is committed: it may be further on than what this instance proposed
    /// since.
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

    /// A leader's snapshot up to `index`, whose entry there is of `term`, replaced the log.
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

    /// Moves the answers that can be given to `events`.
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
