//! Proposals without an answer yet.

use std::collections::VecDeque;

use super::stamp::Counted;
use crate::{GroupEvent, GroupId, Incarnation, Term};

/// The most proposals without an answer, and the bytes of those not committed.
pub const MOST: usize = 4096;
pub const MOST_BYTES: u64 = 64 << 20;

/// Answered in the order of their numbers: one refused at once waits for those before it.
#[derive(Default)]
pub struct Open {
    all: VecDeque<Proposal>,
}

struct Proposal {
    number: u64,
    state: State,
}

enum State {
    At { index: u64, term: Term },
    Counts,
    Void,
}

impl Open {
    pub fn is_full(&self) -> bool {
        self.all.len() >= MOST
    }

    pub fn appended(&mut self, number: u64, index: u64, term: Term) {
        self.all.push_back(Proposal {
            number,
            state: State::At { index, term },
        });
    }

    pub fn refused(&mut self, number: u64) {
        self.all.push_back(Proposal {
            number,
            state: State::Void,
        });
    }

    /// The entry at `index` is decided: it is of `term`. Terms never fall along the log, so what an earlier term
    /// put further on never counts: it may stand further on than what this instance proposed since.
    pub fn decided(&mut self, index: u64, term: Term) {
        for proposal in &mut self.all {
            let State::At {
                index: at,
                term: own,
            } = proposal.state
            else {
                continue;
            };
            if at == index && own == term {
                proposal.state = State::Counts;
            } else if at == index || (at > index && own < term) {
                proposal.state = State::Void;
            } else if own >= term {
                break;
            }
        }
    }

    /// A state of another's log up to `index`, whose entry there is of `term`, stands in place of the log.
    pub fn replaced(&mut self, me: Incarnation, index: u64, term: Term, counted: &Counted) {
        for proposal in &mut self.all {
            if let State::At {
                index: at,
                term: own,
            } = proposal.state
            {
                if counted.counts(me, own, proposal.number) {
                    proposal.state = State::Counts;
                } else if at <= index || term > own {
                    proposal.state = State::Void;
                }
            }
        }
    }

    /// The answers that can be given.
    pub fn answers(&mut self, group: GroupId, news: &mut Vec<GroupEvent>) {
        while let Some(Proposal { number, state }) = self.all.front() {
            let number = *number;
            news.push(match state {
                State::At { .. } => return,
                State::Counts => GroupEvent::Committed { group, number },
                State::Void => GroupEvent::Discarded { group, number },
            });
            self.all.pop_front();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_proposal_further_on_from_an_earlier_lead_does_not_hide_a_later_one() {
        let group = GroupId {
            founder: Incarnation(1),
            number: 1,
        };
        let mut open = Open::default();
        open.appended(1, 20, Term(5));
        // Its log was cut back to 13 by another leader; it leads anew.
        open.decided(14, Term(7));
        open.appended(2, 15, Term(7));
        open.decided(15, Term(7));
        open.decided(20, Term(7));
        let mut news = Vec::new();
        open.answers(group, &mut news);
        let counted = matches!(
            news[..],
            [
                GroupEvent::Discarded { number: 1, .. },
                GroupEvent::Committed { number: 2, .. }
            ]
        );
        assert!(counted, "{news:?}");
    }
}
