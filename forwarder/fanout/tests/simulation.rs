//! Seeded simulations of several forwarders. `WALKS` sets the number of seeds.

mod simulator;

use rstest::rstest;
use simulator::{PlantedFault, Simulation};

fn seeds() -> std::ops::Range<u64> {
    let count = std::env::var("WALKS")
        .ok()
        .and_then(|count| count.parse().ok());
    0..count.unwrap_or(16)
}

#[test]
fn under_faults_each_copy_has_one_server_one_end_and_its_place_in_order() {
    let (mut moves, mut crashes, mut submitted, mut completed) = (0, 0, 0, 0);
    let (mut accepted, mut rejected) = (0, 0);
    for seed in seeds() {
        let run = Simulation::run(seed, PlantedFault::None);
        assert!(
            run.checker.violations.is_empty(),
            "seed {seed}: {:?}",
            run.checker.violations
        );
        assert!(
            run.checker.all_ended > 20,
            "seed {seed}: {} broadcasts",
            run.checker.all_ended
        );
        moves += run.moves;
        crashes += run.crashes;
        submitted += run.checker.submitted;
        completed += run.checker.completed();
        let (yes, no) = run.checker.answers();
        (accepted, rejected) = (accepted + yes, rejected + no);
    }
    // The runs had moves, crashes, answers and completed copies.
    let runs = seeds().count() as u64;
    assert!(
        moves > 20 * runs && crashes > 5 * runs,
        "{moves} moves, {crashes} crashes"
    );
    assert!(
        accepted > 20 * runs as usize && rejected > 0,
        "{accepted} accepted, {rejected} rejected"
    );
    assert!(
        completed as u64 > 100 * runs && submitted > 100 * runs,
        "{completed} of {submitted} completed"
    );
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let [first, second] = [0, 1].map(|_| Simulation::run(3, PlantedFault::None));
    assert_eq!(
        (first.moves, first.checker.submitted),
        (second.moves, second.checker.submitted)
    );
    assert_eq!(first.checker.completed(), second.checker.completed());
}

#[rstest]
#[case(PlantedFault::SubmitsBeforeCommit, "no duplicate copy")]
#[case(PlantedFault::IgnoresEventLog, "nothing sent after its end")]
#[case(PlantedFault::EndsTooEarly, "one server for each subscriber")]
#[case(PlantedFault::EndsTooEarly, "order within a subscriber's stream")]
#[case(
    PlantedFault::EndsTooEarly,
    "an outcome is notified before it is reported"
)]
#[case(PlantedFault::SendsAfterPatience, "nothing sent after its end")]
#[case(PlantedFault::ResendsBinding, "binding copies once")]
#[case(PlantedFault::AbandonsAtOnce, "nothing sent after its end")]
#[case(
    PlantedFault::SkipsNotice,
    "an outcome is notified before it is reported"
)]
#[case(
    PlantedFault::AnswersEarly,
    "the log agrees with the answers to clients"
)]
#[case(PlantedFault::DropsSubmission, "no missing copy")]
fn each_check_detects_its_planted_fault(#[case] planted_fault: PlantedFault, #[case] rule: &str) {
    let found = seeds().any(|seed| {
        Simulation::run(seed, planted_fault)
            .checker
            .violations
            .contains(rule)
    });
    assert!(found, "{planted_fault:?} does not violate: {rule}");
}
