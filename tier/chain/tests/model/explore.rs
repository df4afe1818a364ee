//! Explores a model completely, and says what it has found.

use std::time::Instant;

use stateright::{Checker, Model};

use crate::model::Bounds;

/// Threads of one exploration: tests run side by side.
const THREADS: usize = 4;

/// Nothing is broken in any state, and what has to be possible is.
pub fn holds(bounds: Bounds) {
    let began = Instant::now();
    let checker = bounds.checker().threads(THREADS).spawn_bfs().join();
    let states = checker.unique_state_count();
    println!(
        "{bounds:?}: {states} states, depth {}, {:.1} s",
        checker.max_depth(),
        began.elapsed().as_secs_f64()
    );
    if let Some(path) = checker.discovery("nothing is broken") {
        let broken = path.last_state().broken;
        panic!("{broken:?} after {:#?}", path.into_actions());
    }
    checker.assert_properties();
}

/// Some state is broken.
pub fn breaks(bounds: Bounds) {
    let began = Instant::now();
    // Any state will do, so that the deep ones come first.
    let checker = bounds.checker().threads(THREADS).spawn_dfs().join();
    let found = checker.discovery("nothing is broken");
    let states = checker.unique_state_count();
    println!(
        "{bounds:?}: {states} states, {:.1} s",
        began.elapsed().as_secs_f64()
    );
    let path = found.unwrap_or_else(|| panic!("{:?} was not found", bounds.planted));
    let broken = path.last_state().broken;
    println!("{broken:?} after {} steps", path.into_actions().len());
}
