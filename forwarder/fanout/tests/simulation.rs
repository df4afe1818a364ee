//! Seeded days of several forwarders. `WALKS` plays so many more seeds on call.

mod simulator;

use rstest::rstest;
use simulator::{PlantedFault, Simulation};

fn seeds() -> std::ops::Range<u64> {
    let more = std::env::var("WALKS")
        .ok()
        .and_then(|count| count.parse().ok());
    0..more.unwrap_or(16)
}

#[test]
fn whatever_fails_each_copy_has_one_server_one_end_and_its_place_in_order() {
    let (mut moves, mut crashes, mut handed, mut completed) = (0, 0, 0, 0);
    let (mut promised, mut refused) = (0, 0);
    for seed in seeds() {
        let day = Simulation::play(seed, PlantedFault::None);
        assert!(
            day.checker.breaches.is_empty(),
            "seed {seed}: {:?}",
            day.checker.breaches
        );
        assert!(
            day.checker.all_ended > 20,
            "seed {seed}: {} broadcasts",
            day.checker.all_ended
        );
        moves += day.moves;
        crashes += day.crashes;
        handed += day.checker.handed;
        completed += day.checker.completed();
        let (yes, no) = day.checker.answers();
        (promised, refused) = (promised + yes, refused + no);
    }
    // The days were not empty.
    let days = seeds().count() as u64;
    assert!(
        moves > 20 * days && crashes > 5 * days,
        "{moves} moves, {crashes} crashes"
    );
    assert!(
        promised > 20 * days as usize && refused > 0,
        "{promised} and {refused} answers"
    );
    assert!(
        completed as u64 > 100 * days && handed > 100 * days,
        "{completed} of {handed} completed"
    );
}

#[test]
fn one_seed_gives_one_day() {
    let [first, second] = [0, 1].map(|_| Simulation::play(3, PlantedFault::None));
    assert_eq!(
        (first.moves, first.checker.handed),
        (second.moves, second.checker.handed)
    );
    assert_eq!(first.checker.completed(), second.checker.completed());
}

#[rstest]
#[case(PlantedFault::HandsBeforeCommit, "no doubled copy")]
#[case(PlantedFault::ForgetsLedger, "nothing sent after its end")]
#[case(PlantedFault::EndsTooEarly, "one server for each subscriber")]
#[case(PlantedFault::EndsTooEarly, "order within a subscriber's stream")]
#[case(PlantedFault::EndsTooEarly, "an end that is told")]
#[case(PlantedFault::OutlastsPatience, "nothing sent after its end")]
#[case(PlantedFault::ResendsBinding, "binding copies once")]
#[case(PlantedFault::GivesUpAtOnce, "nothing sent after its end")]
#[case(PlantedFault::TellsNoEnd, "an end that is told")]
#[case(PlantedFault::AnswersEarly, "an answer is kept")]
#[case(PlantedFault::DropsHandIn, "no missing copy")]
fn each_check_bites(#[case] planted_fault: PlantedFault, #[case] rule: &str) {
    let found = seeds().any(|seed| {
        Simulation::play(seed, planted_fault)
            .checker
            .breaches
            .contains(rule)
    });
    assert!(found, "{planted_fault:?} does not break: {rule}");
}
