//! Which feeder a subscription tries next, and after which backoff. Owned by the subscription's
//! task; without I/O.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::NodeId;

/// Backoff after the first pass over the candidates in which every feeder failed; it doubles with
/// each further pass.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Longest backoff: well under the time within which a change must have spread.
const MAX_BACKOFF: Duration = Duration::from_millis(250);
/// Doublings until the longest backoff.
const MAX_DOUBLINGS: usize = 3;

/// Goes through the candidates in turns. The first choice differs from machine to machine, so that
/// the subscribers spread over the feeders.
#[derive(Clone, Debug)]
pub struct Rotation {
    /// Counts on with each choice; its remainder is the candidate's index.
    position: usize,
    /// Candidates in a row that failed.
    failures: usize,
}

impl Rotation {
    /// Starts at a candidate chosen by the hash of the machine's name.
    pub fn new(node: &NodeId) -> Self {
        let mut hasher = DefaultHasher::new();
        node.hash(&mut hasher);
        // Only the remainder matters; a sixteenth of the range keeps the counter far from its end.
        let position = (hasher.finish() >> 36) as usize;
        Rotation {
            position,
            failures: 0,
        }
    }

    /// The next candidate; `None` if there is none.
    pub fn next_candidate(&mut self, candidates: &[SocketAddr]) -> Option<SocketAddr> {
        self.position = self.position.wrapping_add(1);
        let index = self.position.checked_rem(candidates.len())?;
        candidates.get(index).copied()
    }

    /// Records that the last candidate served this subscription: backoffs begin anew.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Records that the last of `candidates` feeders failed. Returns the backoff before the next
    /// one, which is zero within the first pass.
    pub fn record_failure(&mut self, candidates: usize) -> Duration {
        let backoff = self.backoff(candidates);
        self.failures = self.failures.saturating_add(1);
        backoff
    }

    /// Records that the last of `candidates` feeders could not be reached, which costs next to
    /// nothing. Returns the backoff before the next one, which is zero except at the end of each
    /// pass: a feeder that comes up is found by the next pass.
    pub fn record_unreachable(&mut self, candidates: usize) -> Duration {
        let backoff = self.record_failure(candidates);
        if self.failures.is_multiple_of(candidates.max(1)) {
            backoff
        } else {
            Duration::ZERO
        }
    }

    /// The backoff after the present one of `candidates` feeders, should it fail.
    pub fn backoff(&self, candidates: usize) -> Duration {
        let passes = self.failures.saturating_add(1) / candidates.max(1);
        if passes == 0 {
            return Duration::ZERO;
        }
        let doublings = (passes - 1).min(MAX_DOUBLINGS);
        MAX_BACKOFF.min(INITIAL_BACKOFF * (1 << doublings))
    }
}
