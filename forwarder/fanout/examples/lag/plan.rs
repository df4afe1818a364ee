//! The parameters of a simulation, its scheduled events, and its results.

use std::cmp::Ordering;

use hdrhistogram::Histogram;
use plankhill_decisions::interface::Ms;
use plankhill_fanout::Command;

use crate::instance::InstanceInput;

#[derive(Clone)]
pub struct Strategy {
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
    pub strategy: Strategy,
}

#[derive(Default)]
pub struct Measurements {
    pub healthy: LagHistogram,
    /// The same, from a minute after subscribers turned slow.
    pub settled: LagHistogram,
    pub healthy_lost: u64,
    /// Completed and other copies of slow subscribers.
    pub slow: (u64, u64),
    pub found: Vec<Ms>,
    pub moves: u64,
    pub false_moves: u64,
    pub false_verdicts: u64,
    pub cohort_moves: u64,
}

pub enum SimulationEvent {
    Commit(Command),
    Broadcast(u64),
    Poll(usize),
    Stall(usize),
    Input(usize, InstanceInput),
}

pub struct ScheduledEvent(pub Ms, pub u64, pub SimulationEvent);

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}
impl Eq for ScheduledEvent {}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        other.0.total_cmp(&self.0).then(other.1.cmp(&self.1))
    }
}

/// In tenths of a millisecond, up to a minute.
pub struct LagHistogram(pub Histogram<u64>);

impl Default for LagHistogram {
    fn default() -> Self {
        LagHistogram(Histogram::new_with_max(600_000, 3).expect("valid histogram bounds"))
    }
}
