//! Limits on what fan-out keeps, submits and moves.

use serde::{Deserialize, Serialize};

/// Counts are of copies unless stated otherwise. `plankhill-forwarder-config` checks the values and has the
/// defaults.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bounds {
    /// Copies of one subscriber that may be submitted to its forwarder's decision module at a time.
    pub window: usize,
    /// The same for a subscriber in a slow cohort, whose copies take slots only from other slow subscribers.
    pub slow_window: usize,
    /// Copies kept for one subscriber, submitted or not. One more, and the oldest that was not submitted is
    /// rejected.
    pub kept_for_one: usize,
    /// Copies kept for all subscribers together; a broadcast that would exceed them is rejected.
    pub kept_in_all: usize,
    /// Broadcasts with a copy that has not ended; at that many, another one is rejected.
    pub broadcasts: usize,
    /// Bytes of the bodies of those broadcasts; a broadcast that would exceed them is rejected.
    pub body_bytes: usize,
    /// Copies submitted at one instance at a time: a part of its decision module's capacity.
    pub room: usize,
    /// Subscribers that may be moving at a time.
    pub moves_at_once: usize,
    /// Moves that may begin within 60 ticks of one second.
    pub moves_a_minute: usize,
}

impl Bounds {
    /// The window of a subscriber, by whether its cohort is a slow one.
    pub fn window_of(&self, slow: bool) -> usize {
        if slow {
            self.slow_window
        } else {
            self.window
        }
    }
}
