//! What a day is played with, what is still to happen in it, and what it gave.

use std::cmp::Ordering;

use hdrhistogram::Histogram;
use plankhill_decisions::interface::Ms;
use plankhill_fanout::Command;

use crate::instance::CameIn;

#[derive(Clone)]
pub struct Way {
    pub cohorts: u32,
    pub slow_cohorts: u32,
    pub window: usize,
    pub slow_window: usize,
}

pub struct Plan {
    pub seed: u64,
    pub length: Ms,
    pub slow: u64,
    pub stalls: bool,
    pub way: Way,
}

#[derive(Default)]
pub struct Result {
    pub healthy: Lags,
    /// The same from a minute after slowness began.
    pub settled: Lags,
    pub healthy_lost: u64,
    /// Completed and not, of the slow ones.
    pub slow: (u64, u64),
    pub found: Vec<Ms>,
    pub moves: u64,
    pub false_moves: u64,
    pub false_verdicts: u64,
    pub cohort_moves: u64,
}

pub enum What {
    Commit(Command),
    Broadcast(u64),
    Pump(usize),
    Stall(usize),
    CameIn(usize, CameIn),
}

pub struct Due(pub Ms, pub u64, pub What);

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Self) -> Ordering {
        other.0.total_cmp(&self.0).then(other.1.cmp(&self.1))
    }
}

/// In tenths of a millisecond, up to a minute.
pub struct Lags(pub Histogram<u64>);

impl Default for Lags {
    fn default() -> Self {
        Lags(Histogram::new_with_max(600_000, 3).expect("bounds of a histogram"))
    }
}
