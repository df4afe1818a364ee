//! Decaying sums of votes. They decay by repeated multiplication, never by a logarithm or a power: every
//! instance computes the same bits, whatever its math library.

use plankhill_decisions::interface::Ms;
use serde::{Deserialize, Serialize};

/// Factor on all sums for each new vote: about the last 16 votes count, however rarely they arrive. The time
/// to find a slow subscriber is therefore a number of copies and not of seconds.
const VOTE_DECAY: f64 = 15.0 / 16.0;
/// Factor on all sums for each tick: evidence has lost its weight after some ten minutes.
const TICK_DECAY: f64 = 0.995;

/// The number of votes and of late ones among them, and sums of the times that they measured, all decaying.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Votes {
    seen: f64,
    late: f64,
    own: f64,
    waited: f64,
    tick: u64,
}

impl Votes {
    /// Adds a vote, after the decay of the ticks up to `tick`.
    pub fn add(&mut self, tick: u64, late: bool, own: Ms, waited: Ms) {
        self.decay(tick);
        self.scale(VOTE_DECAY);
        self.seen += 1.0;
        self.late += f64::from(u8::from(late));
        self.own += own;
        self.waited += waited;
    }

    /// The decayed number of votes; 16 at most.
    pub fn count(&self) -> f64 {
        self.seen
    }

    /// The share of late votes; 0 without votes.
    pub fn late_share(&self) -> f64 {
        self.mean(self.late)
    }

    /// The mean time from a copy's first call to its end.
    pub fn mean_own(&self) -> Ms {
        self.mean(self.own)
    }

    /// The mean time from a copy's submission to its first call.
    pub fn mean_wait(&self) -> Ms {
        self.mean(self.waited)
    }

    /// Applies the decay of the ticks up to `tick`.
    pub fn decay(&mut self, tick: u64) {
        // After 1000 ticks the remaining weight is negligible.
        for _ in 0..tick.saturating_sub(self.tick).min(1000) {
            self.scale(TICK_DECAY);
        }
        self.tick = self.tick.max(tick);
    }

    fn mean(&self, sum: f64) -> f64 {
        if self.seen > 0.0 {
            sum / self.seen
        } else {
            0.0
        }
    }

    fn scale(&mut self, factor: f64) {
        for sum in [
            &mut self.seen,
            &mut self.late,
            &mut self.own,
            &mut self.waited,
        ] {
            *sum *= factor;
        }
    }
}

/// The median, the lower of the two middle values for an even number; `None` without values.
pub fn median(mut values: Vec<Ms>) -> Option<Ms> {
    values.sort_by(f64::total_cmp);
    values.get(values.len().saturating_sub(1) / 2).copied()
}
