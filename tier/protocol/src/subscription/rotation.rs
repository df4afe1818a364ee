//! Selects the next feeder of a subscription and the backoff before it, without I/O. Owned by the
//! subscription's task.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::NodeId;

/// Backoff after the first pass over the candidates in which every feeder failed; doubles with each
/// further pass.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum backoff: well below the time within which a change must reach all machines.
const MAX_BACKOFF: Duration = Duration::from_millis(250);
/// Number of doublings after which the maximum backoff is reached.
const MAX_DOUBLINGS: usize = 3;

/// Round-robin selection of the candidates. The first candidate depends on the machine, so that the
/// subscribers are spread over the feeders.
#[derive(Clone, Debug)]
pub struct Rotation {
    /// Incremented by each selection; the remainder modulo the number of candidates is the
    /// candidate's index.
    position: usize,
    /// Number of consecutive failures.
    failures: usize,
}

impl Rotation {
    /// Creates a rotation that starts at a candidate selected by the hash of the machine's name.
    pub fn new(node: &NodeId) -> Self {
        let mut hasher = DefaultHasher::new();
        node.hash(&mut hasher);
        // Only the remainder matters; a start within a sixteenth of the 32-bit range keeps the
        // counter far from an overflow.
        let position = (hasher.finish() >> 36) as usize;
        Rotation {
            position,
            failures: 0,
        }
    }

    /// Returns the next candidate; `None` if there is none.
    pub fn next_candidate(&mut self, candidates: &[SocketAddr]) -> Option<SocketAddr> {
        self.position = self.position.wrapping_add(1);
        let index = self.position.checked_rem(candidates.len())?;
        candidates.get(index).copied()
    }

    /// Records that the last candidate served this subscription, which resets the backoff.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Records that the last candidate failed. Returns the backoff before the next of
    /// `candidate_count` candidates, which is zero within the first pass.
    pub fn record_failure(&mut self, candidate_count: usize) -> Duration {
        let backoff = self.backoff(candidate_count);
        self.failures = self.failures.saturating_add(1);
        backoff
    }

    /// Records that the last candidate could not be reached, which costs very little. Returns the
    /// backoff before the next of `candidate_count` candidates, which is zero except at the end of
    /// each pass: the next pass finds a feeder that has started in the meantime.
    pub fn record_unreachable(&mut self, candidate_count: usize) -> Duration {
        let backoff = self.record_failure(candidate_count);
        if self.failures.is_multiple_of(candidate_count.max(1)) {
            backoff
        } else {
            Duration::ZERO
        }
    }

    /// Returns the backoff after the current one of `candidate_count` candidates, if that candidate
    /// fails.
    pub fn backoff(&self, candidate_count: usize) -> Duration {
        let passes = self.failures.saturating_add(1) / candidate_count.max(1);
        if passes == 0 {
            return Duration::ZERO;
        }
        let doublings = (passes - 1).min(MAX_DOUBLINGS);
        MAX_BACKOFF.min(INITIAL_BACKOFF * (1 << doublings))
    }
}
