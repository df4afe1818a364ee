//! A founder without a group that it leads takes nothing: it founds another unless it has led this one.

use plankhill_raft_groups::course::{course, Course, Sighting};
use rstest::rstest;

#[rstest]
#[case::new(Sighting::default(), Course::GoOn)]
#[case::led(Sighting { led: true, ..Sighting::default() }, Course::Stands)]
#[case::led_and_over(Sighting { led: true, gone: true, ..Sighting::default() }, Course::Stands)]
#[case::with_an_heir(Sighting { led_by_another: true, ..Sighting::default() }, Course::Again)]
#[case::dissolved_by_an_heir_unseen(Sighting { gone: true, ..Sighting::default() }, Course::Again)]
#[case::keepers_of_other_lives(Sighting { keepers_lost: true, ..Sighting::default() }, Course::BuryAndAgain)]
fn what_follows(#[case] seen: Sighting, #[case] wanted: Course) {
    assert_eq!(course(seen), wanted);
}
