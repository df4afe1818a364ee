//! Probes that a machine makes for others. Time is passed in.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use plankhill_protocol::ids::NodeId;

/// Probes for others under way at once; further requests are ignored.
const MOST: usize = 32;
/// After this time the asker has given up.
const FORGET: Duration = Duration::from_millis(1_000);

/// Whom an answer is to be passed on to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Asker {
    /// The machine that asked.
    pub node: NodeId,
    /// Its count.
    pub sequence: u64,
}

/// Probes under way for others.
#[derive(Debug, Default)]
pub struct Relays {
    pending: VecDeque<(u64, Asker, Instant)>,
}

impl Relays {
    /// Takes a request whose probe goes out under `sequence`; false if there are too many.
    pub fn begin(&mut self, sequence: u64, asker: Asker, now: Instant) -> bool {
        self.pending
            .retain(|(_, _, begun)| now.saturating_duration_since(*begun) < FORGET);
        if self.pending.len() >= MOST {
            return false;
        }
        self.pending.push_back((sequence, asker, now));
        true
    }

    /// The answer to `sequence` came: who is to be told.
    pub fn answered(&mut self, sequence: u64) -> Option<Asker> {
        let at = self
            .pending
            .iter()
            .position(|(pending, _, _)| *pending == sequence)?;
        self.pending.remove(at).map(|(_, asker, _)| asker)
    }
}
