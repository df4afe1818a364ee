//! Runs scenarios of the simulated deployment with many seeds. `STORE_SEEDS=from..to` selects the seeds.

mod simulation;

use simulation::faults::Fault;
use simulation::proxy::{ClientTurns, Programs};
use simulation::scenario::{run_scenario, Scenario, Summary};

fn seeds(count: u64) -> std::ops::Range<u64> {
    let Ok(range) = std::env::var("STORE_SEEDS") else {
        return 0..count;
    };
    let (from, to) = range.split_once("..").expect("from..to");
    from.parse().expect("from")..to.parse().expect("to")
}

fn run_seeds(count: u64, scenario: Scenario) -> Summary {
    let mut sum = Summary::default();
    for seed in seeds(count) {
        let summary = std::panic::catch_unwind(|| run_scenario(seed, scenario));
        let summary = summary.unwrap_or_else(|_| panic!("seed {seed} of {scenario:?}"));
        sum.answered += summary.answered;
        sum.begun += summary.begun;
        sum.rejected += summary.rejected;
        sum.unavailable += summary.unavailable;
    }
    println!("{sum:?}");
    assert!(sum.answered > 0 && sum.begun > 0);
    sum
}

#[test]
fn few_turns_are_unavailable_without_faults() {
    let summary = run_seeds(
        20,
        Scenario {
            fault_count: 0,
            ..Scenario::SMALL
        },
    );
    assert!(summary.unavailable * 20 < summary.begun, "{summary:?}");
    assert!(
        summary.rejected > 0,
        "no budget was ever exhausted: {summary:?}"
    );
}

#[test]
fn three_stores_tolerate_all_faults() {
    run_seeds(200, Scenario::SMALL);
}

#[test]
fn four_stores_tolerate_all_faults() {
    run_seeds(
        200,
        Scenario {
            stores: 4,
            fault_count: 3,
            ..Scenario::SMALL
        },
    );
}

#[test]
fn six_stores_tolerate_two_lost_at_once() {
    run_seeds(
        60,
        Scenario {
            stores: 6,
            tolerated_faults: 2,
            ..Scenario::SMALL
        },
    );
}

#[test]
fn retiring_stores_loses_nothing() {
    let fault_kinds = &[Fault::Retire, Fault::Add];
    run_seeds(
        60,
        Scenario {
            stores: 4,
            fault_count: 4,
            fault_kinds,
            ..Scenario::SMALL
        },
    );
}

/// Guards against tokens that are spent twice: a store that was frozen executes the begins of turns that
/// other stores have granted in the meantime.
#[test]
fn frozen_stores_release_no_tokens_of_running_turns() {
    let summary = run_seeds(
        40,
        Scenario {
            clients: 8,
            turns: ClientTurns {
                count: 60,
                programs: Programs::InSequence { turns: 10 },
                max_event_interval_ms: 600,
            },
            fault_count: 3,
            fault_kinds: &[Fault::Freeze],
            ..Scenario::SMALL
        },
    );
    assert!(summary.rejected > summary.begun / 10, "{summary:?}");
}
