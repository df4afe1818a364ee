//! Sums that fade. They fade by counting, never by a logarithm or a power: every instance computes the same
//! bits, whatever its mathematical library.

use plankhill_decisions::interface::Ms;
use serde::{Deserialize, Serialize};

/// What is left of a sum at the next vote: about the last sixteen count, however seldom they come. The time
/// to find a slow subscriber is then a number of copies and not of seconds.
const KEEP: f64 = 15.0 / 16.0;
/// What is left at the next tick: old evidence is worth nothing after some ten minutes.
const FADE: f64 = 0.995;

/// Votes and how many of them were late, with the means of what they measured.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Votes {
    seen: f64,
    late: f64,
    own: f64,
    waited: f64,
    tick: u64,
}

impl Votes {
    pub fn add(&mut self, tick: u64, late: bool, own: Ms, waited: Ms) {
        self.fade(tick);
        self.scale(KEEP);
        self.seen += 1.0;
        self.late += f64::from(u8::from(late));
        self.own += own;
        self.waited += waited;
    }

    /// How many votes it rests on; 16 at most.
    pub fn seen(&self) -> f64 {
        self.seen
    }

    /// The share of late ones; 0 without votes.
    pub fn late(&self) -> f64 {
        self.mean(self.late)
    }

    /// The mean from first call to end.
    pub fn own(&self) -> Ms {
        self.mean(self.own)
    }

    /// The mean from handing in to the first call.
    pub fn waited(&self) -> Ms {
        self.mean(self.waited)
    }

    /// Brought up to date.
    pub fn fade(&mut self, tick: u64) {
        // After a thousand nothing is left that counts.
        for _ in 0..tick.saturating_sub(self.tick).min(1000) {
            self.scale(FADE);
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

    fn scale(&mut self, by: f64) {
        for sum in [
            &mut self.seen,
            &mut self.late,
            &mut self.own,
            &mut self.waited,
        ] {
            *sum *= by;
        }
    }
}

/// The middle one, the lower of two; none of nothing.
pub fn median(mut all: Vec<Ms>) -> Option<Ms> {
    all.sort_by(f64::total_cmp);
    all.get(all.len().saturating_sub(1) / 2).copied()
}
