//! Sums that forget: recent amounts count in full, old ones hardly.

use serde::{Deserialize, Serialize};

use crate::interface::Ms;

/// A sum that decays exponentially. It is brought up to date when it is read or added to, so that
/// one that nobody asks for costs nothing.
///
/// The time constant is the caller's: each sum has to be read and added to with the same one.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct DecayingSum {
    sum: f64,
    updated_at: Ms,
}

impl DecayingSum {
    /// What is left of the sum now.
    pub(crate) fn value(&self, now: Ms, time_constant: Ms) -> f64 {
        self.sum * (-(now - self.updated_at).max(0.0) / time_constant).exp()
    }

    /// Adds an amount that came about now.
    pub(crate) fn add(&mut self, now: Ms, time_constant: Ms, amount: f64) {
        self.sum = self.value(now, time_constant) + amount;
        self.updated_at = now;
    }
}

/// Recent responses and the time that they took.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct ResponseTimes {
    count: DecayingSum,
    total_time: DecayingSum,
}

impl ResponseTimes {
    /// How many responses are remembered.
    pub(crate) fn count(&self, now: Ms, time_constant: Ms) -> f64 {
        self.count.value(now, time_constant)
    }

    /// The time that the remembered responses took in all.
    pub(crate) fn total_time(&self, now: Ms, time_constant: Ms) -> Ms {
        self.total_time.value(now, time_constant)
    }

    /// Adds a response that came now.
    pub(crate) fn add(&mut self, now: Ms, time_constant: Ms, elapsed: Ms) {
        self.count.add(now, time_constant, 1.0);
        self.total_time.add(now, time_constant, elapsed);
    }
}
