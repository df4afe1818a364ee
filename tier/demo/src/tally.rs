//! What clients saw, counted as it happens.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Counts of one run.
#[derive(Debug, Clone, Default)]
pub(crate) struct Counts {
    pub(crate) programs_begun: u32,
    pub(crate) programs_whole: u32,
    pub(crate) turns: u32,
    pub(crate) calls: u32,
    /// What failed tries saw, and how many.
    pub(crate) failed_tries: BTreeMap<String, u32>,
    /// Turns whose target got something else than the history and the new input.
    pub(crate) wrong_histories: u32,
    /// Turns refused because the budget was spent.
    pub(crate) budget_refusals: u32,
    /// Times from a turn's first try to its whole answer.
    pub(crate) turn_times: Vec<Duration>,
    /// Why programs failed.
    pub(crate) failures: Vec<String>,
}

/// Counts shared by all programs.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    counts: Mutex<Counts>,
}

impl Tally {
    /// Changes the counts.
    pub(crate) fn update(&self, change: impl FnOnce(&mut Counts)) {
        change(&mut self.counts.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// The counts so far.
    pub(crate) fn counts(&self) -> Counts {
        self.counts
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}
