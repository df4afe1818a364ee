//! Tests of the answers to open proposals.

use super::OpenProposals;
use crate::{GroupEvent, GroupId, Incarnation, Term};

#[test]
fn a_proposal_at_a_higher_index_of_an_earlier_term_does_not_block_a_later_one() {
    let group = GroupId {
        founder: Incarnation(1),
        number: 1,
    };
    let mut open = OpenProposals::default();
    open.appended(1, 20, Term(5));
    // Another leader truncated the log to index 13; then this instance was elected again.
    open.entry_committed(14, Term(7));
    open.appended(2, 15, Term(7));
    open.entry_committed(15, Term(7));
    open.entry_committed(20, Term(7));
    let mut events = Vec::new();
    open.take_answers(group, &mut events);
    let answered = matches!(
        events[..],
        [
            GroupEvent::Discarded { number: 1, .. },
            GroupEvent::Committed { number: 2, .. }
        ]
    );
    assert!(answered, "{events:?}");
}
