//! Explores a model completely, and prints what it has found.

use std::time::Instant;

use stateright::{Checker, Model};

use crate::model::Bounds;

/// Threads of one exploration: tests run side by side.
const THREADS: usize = 4;

/// No invariant is violated in any state, and everything that has to be possible is.
pub fn assert_holds(bounds: Bounds) {
    let began = Instant::now();
    let checker = bounds.checker().threads(THREADS).spawn_bfs().join();
    let states = checker.unique_state_count();
    println!(
        "{bounds:?}: {states} states, depth {}, {:.1} s",
        checker.max_depth(),
        began.elapsed().as_secs_f64()
    );
    if let Some(path) = checker.discovery("no invariant is violated") {
        let violation = path.last_state().violation;
        panic!("{violation:?} after {:#?}", path.into_actions());
    }
    checker.assert_properties();
}

/// Some state violates an invariant.
pub fn assert_violated(bounds: Bounds) {
    let began = Instant::now();
    // Any state will do, so that the deep ones come first.
    let checker = bounds.checker().threads(THREADS).spawn_dfs().join();
    let found = checker.discovery("no invariant is violated");
    let states = checker.unique_state_count();
    println!(
        "{bounds:?}: {states} states, {:.1} s",
        began.elapsed().as_secs_f64()
    );
    let path = found.unwrap_or_else(|| panic!("{:?} was not found", bounds.injected_bug));
    let violation = path.last_state().violation;
    println!("{violation:?} after {} steps", path.into_actions().len());
}
