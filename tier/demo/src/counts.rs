//! Counters of the results that clients observe during a run.

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
    /// Failed attempts by kind of failure.
    pub(crate) failed_attempts: BTreeMap<String, u32>,
    /// Turns whose target received a prompt other than the history followed by the new input.
    pub(crate) wrong_prompts: u32,
    /// Turns rejected because the program's budget was exhausted.
    pub(crate) budget_rejections: u32,
    /// Time of each completed turn, from its first attempt to its complete response.
    pub(crate) turn_times: Vec<Duration>,
    /// Error messages of the failed programs.
    pub(crate) failures: Vec<String>,
}

/// Counts shared by all programs.
#[derive(Debug, Default)]
pub(crate) struct SharedCounts {
    counts: Mutex<Counts>,
}

impl SharedCounts {
    /// Applies `change` to the counts.
    pub(crate) fn update(&self, change: impl FnOnce(&mut Counts)) {
        change(&mut self.counts.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// A copy of the current counts.
    pub(crate) fn snapshot(&self) -> Counts {
        self.counts
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}
