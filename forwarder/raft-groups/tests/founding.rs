//! The founder's steps until it leads its group.

use plankhill_raft_groups::founding::{FoundingObservation, FoundingStep};
use rstest::rstest;

#[rstest]
#[case::new(FoundingObservation::default(), FoundingStep::Continue)]
#[case::led(FoundingObservation { was_led_here: true, ..FoundingObservation::default() }, FoundingStep::Done)]
#[case::led_and_removed(FoundingObservation { was_led_here: true, is_removed: true, ..FoundingObservation::default() }, FoundingStep::Done)]
#[case::with_a_successor(FoundingObservation { is_led_by_another: true, ..FoundingObservation::default() }, FoundingStep::FoundAnother)]
#[case::dissolved_by_an_unobserved_successor(FoundingObservation { is_removed: true, ..FoundingObservation::default() }, FoundingStep::FoundAnother)]
#[case::with_lost_voters(FoundingObservation { has_lost_voters: true, ..FoundingObservation::default() }, FoundingStep::RemoveAndFoundAnother)]
fn the_founders_next_step(
    #[case] observation: FoundingObservation,
    #[case] expected: FoundingStep,
) {
    assert_eq!(observation.next_step(), expected);
}
