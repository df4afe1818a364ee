//! What clients saw, counted as it happens.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Counts of one run.
#[derive(Debug, Clone, Default)]
pub(crate) struct Counts {
    pub(crate) programs_started: u32,
    pub(crate) programs_completed: u32,
    pub(crate) turns: u32,
    pub(crate) tool_calls: u32,
    /// Failed attempts by what they saw.
    pub(crate) failed_attempts: BTreeMap<String, u32>,
    /// Turns whose target received another prompt than the history with the new input.
    pub(crate) wrong_prompts: u32,
    /// Turns rejected because the budget was exhausted.
    pub(crate) budget_rejections: u32,
    /// Times from a turn's first attempt to its complete answer.
    pub(crate) turn_times: Vec<Duration>,
    /// Why programs failed.
    pub(crate) failures: Vec<String>,
}

/// Counts shared by all programs.
#[derive(Debug, Default)]
pub(crate) struct SharedCounts {
    counts: Mutex<Counts>,
}

impl SharedCounts {
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
