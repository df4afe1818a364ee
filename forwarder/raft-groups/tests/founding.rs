//! What the founder of a group does until it leads it.

use plankhill_raft_groups::founding::{FoundingObservation, FoundingStep};
use rstest::rstest;

#[rstest]
#[case::new(FoundingObservation::default(), FoundingStep::Continue)]
#[case::led(FoundingObservation { was_led_here: true, ..FoundingObservation::default() }, FoundingStep::Done)]
#[case::led_and_over(FoundingObservation { was_led_here: true, is_removed: true, ..FoundingObservation::default() }, FoundingStep::Done)]
#[case::with_an_heir(FoundingObservation { is_led_by_another: true, ..FoundingObservation::default() }, FoundingStep::FoundAnother)]
#[case::dissolved_by_an_heir_unseen(FoundingObservation { is_removed: true, ..FoundingObservation::default() }, FoundingStep::FoundAnother)]
#[case::keepers_of_other_lives(FoundingObservation { has_lost_voters: true, ..FoundingObservation::default() }, FoundingStep::RemoveAndFoundAnother)]
fn the_founders_next_step(#[case] seen: FoundingObservation, #[case] wanted: FoundingStep) {
    assert_eq!(seen.next_step(), wanted);
}
