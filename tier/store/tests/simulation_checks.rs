//! Tests that the checks of the simulated deployment detect injected defects within a few hundred seeds.

mod simulation;

use std::panic::catch_unwind;

use simulation::faults::Fault;
use simulation::scenario::{run_scenario, Scenario};
use simulation::SeededBug;

/// Maximum number of seeds to run until a check fails.
const SEEDS: u64 = 300;

/// Asserts that the scenario fails one of `checks` for some seed.
fn assert_detected(scenario: Scenario, checks: &[&str]) {
    let hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(|_| {}));
    let found = (0..SEEDS).find(|seed| {
        let Err(panic) = catch_unwind(|| run_scenario(*seed, scenario)) else {
            return false;
        };
        let text = panic.downcast_ref::<String>().cloned().unwrap_or_default();
        checks.iter().any(|check| text.starts_with(check))
    });
    std::panic::set_hook(hook);
    assert!(found.is_some(), "no seed detects {:?}", scenario.bug);
}

#[test]
fn seeded_bugs_are_detected() {
    let power = &[Fault::PowerLoss];
    let wipe = &[Fault::Wipe];
    let wipes = &[Fault::Wipe, Fault::PowerLossAndWipe];
    let moves = &[Fault::Add, Fault::Retire];
    let scenario = |bug, fault_kinds| Scenario {
        bug,
        fault_kinds,
        fault_count: 4,
        ..Scenario::SMALL
    };
    assert_detected(scenario(SeededBug::DisksIgnoreSyncs, power), &["LOST"]);
    // Without spare replicas no store has a copy of the rows on a lost disk, so the set never changes.
    assert_detected(
        scenario(SeededBug::NoSpareReplicas, wipe),
        &["CATCH UP", "LOST"],
    );
    assert_detected(
        scenario(SeededBug::SameIncarnation, wipes),
        &["LOST", "BUDGET"],
    );
    assert_detected(
        Scenario {
            stores: 4,
            ..scenario(SeededBug::SwitchesBeforeTransfer, moves)
        },
        &["LOST", "BUDGET"],
    );
    assert_detected(
        Scenario {
            fault_count: 0,
            ..scenario(SeededBug::AccountsNotSent, power)
        },
        &["BUDGET"],
    );
    assert_detected(
        Scenario {
            fault_count: 0,
            ..scenario(SeededBug::FastClocks, power)
        },
        &["LOST"],
    );
    assert_detected(
        scenario(SeededBug::NoRepairs, &[Fault::Isolate]),
        &["REPAIR"],
    );
}
