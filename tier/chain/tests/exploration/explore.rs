//! Model checker runs over the reachable states, with a summary of each run on standard output.

use std::time::Instant;

use stateright::{Checker, Model};

use crate::steps::Bounds;

/// Threads of one model checker run; several tests run in parallel.
const THREADS: usize = 4;

/// Asserts that no reachable state violates an invariant and that every `sometimes` property is
/// satisfied in some state.
pub fn assert_no_violation(bounds: Bounds) {
    let started_at = Instant::now();
    let checker = bounds.checker().threads(THREADS).spawn_bfs().join();
    println!(
        "{bounds:?}: {} states, depth {}, {:.1} s",
        checker.unique_state_count(),
        checker.max_depth(),
        started_at.elapsed().as_secs_f64()
    );
    if let Some(path) = checker.discovery("no invariant is violated") {
        let violation = path.last_state().history.violation;
        panic!("{violation:?} after {:#?}", path.into_actions());
    }
    checker.assert_properties();
}

/// Asserts that some state violates an invariant. Any violation is sufficient, so the search is
/// depth-first.
pub fn assert_violation_found(bounds: Bounds) {
    let started_at = Instant::now();
    let checker = bounds.checker().threads(THREADS).spawn_dfs().join();
    assert_violated(bounds, &checker, started_at);
}

/// Asserts that some state within a few steps violates an invariant. The search is breadth-first.
pub fn assert_nearby_violation_found(bounds: Bounds) {
    let started_at = Instant::now();
    let checker = bounds.checker().threads(THREADS).spawn_bfs().join();
    assert_violated(bounds, &checker, started_at);
}

fn assert_violated(bounds: Bounds, checker: &impl Checker<Bounds>, started_at: Instant) {
    let found = checker.discovery("no invariant is violated");
    println!(
        "{bounds:?}: {} states, {:.1} s",
        checker.unique_state_count(),
        started_at.elapsed().as_secs_f64()
    );
    let path = found.unwrap_or_else(|| panic!("no violation was found with {:?}", bounds.defect));
    let violation = path.last_state().history.violation;
    println!("{violation:?} after {} steps", path.into_actions().len());
}
