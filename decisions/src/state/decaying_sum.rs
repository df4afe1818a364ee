//! Exponentially decaying sums: recent amounts count in full, old ones hardly at all.

use serde::{Deserialize, Serialize};

use crate::interface::Ms;

/// A sum that decays exponentially. The decay is applied on each read and addition, so an unused
/// sum costs nothing.
///
/// The caller chooses the time constant, which has to be the same for every read and addition of a
/// sum.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct DecayingSum {
    sum: f64,
    updated_at: Ms,
}

impl DecayingSum {
    /// Returns the decayed value of the sum at the time `now`.
    pub(crate) fn value(&self, now: Ms, time_constant: Ms) -> f64 {
        self.sum * (-(now - self.updated_at).max(0.0) / time_constant).exp()
    }

    /// Adds an amount at the time `now`.
    pub(crate) fn add(&mut self, now: Ms, time_constant: Ms, amount: f64) {
        self.sum = self.value(now, time_constant) + amount;
        self.updated_at = now;
    }
}

/// Decaying number and total duration of recent responses.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct ResponseTimes {
    count: DecayingSum,
    total_time: DecayingSum,
}

impl ResponseTimes {
    /// Returns the decayed number of responses.
    pub(crate) fn count(&self, now: Ms, time_constant: Ms) -> f64 {
        self.count.value(now, time_constant)
    }

    /// Returns the decayed total duration of the responses.
    pub(crate) fn total_time(&self, now: Ms, time_constant: Ms) -> Ms {
        self.total_time.value(now, time_constant)
    }

    /// Adds a response that arrived at the time `now`.
    pub(crate) fn add(&mut self, now: Ms, time_constant: Ms, elapsed: Ms) {
        self.count.add(now, time_constant, 1.0);
        self.total_time.add(now, time_constant, elapsed);
    }
}
