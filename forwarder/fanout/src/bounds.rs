//! What fan-out may keep, hand in and move.

use serde::{Deserialize, Serialize};

/// Counts are copies unless they say otherwise. Checked by `plankhill-forwarder-config`, where the defaults stand too.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bounds {
    /// Copies of one subscriber that are handed to its forwarder's module at a time.
    pub window: usize,
    /// The same for one in a cohort of slow ones: there it keeps nobody from a slot that is not slow itself.
    pub slow_window: usize,
    /// Kept for one subscriber, handed in or not; at one more its oldest that was not handed in is dismissed.
    pub kept_for_one: usize,
    /// Kept for all subscribers together; past it a broadcast is refused.
    pub kept_in_all: usize,
    /// Broadcasts of which a copy has not ended; past it another is refused.
    pub broadcasts: usize,
    /// Bytes of the bodies of those broadcasts; past it another is refused.
    pub body_bytes: usize,
    /// Handed in at one instance at a time, of its module's room.
    pub room: usize,
    /// Subscribers that are on the move at a time.
    pub moves_at_once: usize,
    /// Moves begun in sixty ticks of a second.
    pub moves_a_minute: usize,
}

impl Bounds {
    pub fn window_of(&self, slow: bool) -> usize {
        if slow {
            self.slow_window
        } else {
            self.window
        }
    }
}
