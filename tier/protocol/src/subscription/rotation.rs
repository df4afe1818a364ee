//! Which feeder is tried next, and after what pause.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::NodeId;

/// Pause after the first round in which no feeder was of use; it doubles with each further round.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause between tries: well under the time within which a change must have spread.
const LONGEST_PAUSE: Duration = Duration::from_millis(250);
/// Doublings until the longest pause.
const MOST_DOUBLINGS: usize = 3;

/// Goes through the candidates in turns. The first choice differs from machine to machine, so that not all
/// hang on one feeder.
#[derive(Clone, Debug)]
pub struct Rotation {
    place: usize,
    fruitless: usize,
}

impl Rotation {
    /// Starts at a place drawn from the machine's name.
    pub fn new(node: &NodeId) -> Self {
        let mut hasher = DefaultHasher::new();
        node.hash(&mut hasher);
        // Only the place matters; a sixteenth of the range keeps the counter far from its end.
        Rotation {
            place: (hasher.finish() >> 36) as usize,
            fruitless: 0,
        }
    }

    /// The next candidate; None if there is none.
    pub fn next(&mut self, candidates: &[SocketAddr]) -> Option<SocketAddr> {
        self.place = self.place.wrapping_add(1);
        candidates
            .get(self.place.checked_rem(candidates.len())?)
            .copied()
    }

    /// The last candidate was current for a while: the pauses begin anew.
    pub fn useful(&mut self) {
        self.fruitless = 0;
    }

    /// The last candidate was of no use. How long to wait before the next: nothing within the first round.
    pub fn useless(&mut self, candidates: usize) -> Duration {
        let pause = self.pause(candidates);
        self.fruitless = self.fruitless.saturating_add(1);
        pause
    }

    /// The last candidate could not be reached, which costs next to nothing. How long to wait before the next: a pause only
    /// behind each whole round, so that one that comes up is found by the next round.
    pub fn unreached(&mut self, candidates: usize) -> Duration {
        let pause = self.useless(candidates);
        match self.fruitless % candidates.max(1) {
            0 => pause,
            _ => Duration::ZERO,
        }
    }

    /// The pause behind the present candidate, should it be of no use.
    pub fn pause(&self, candidates: usize) -> Duration {
        match self.fruitless.saturating_add(1) / candidates.max(1) {
            0 => Duration::ZERO,
            rounds => LONGEST_PAUSE.min(FIRST_PAUSE * (1 << (rounds - 1).min(MOST_DOUBLINGS))),
        }
    }
}
