//! Subscription to an endpoint list that is sent only on request. Each forwarder requests the list's changes from its
//! start on, and again after a failure: a change counts as reported even if no forwarder requested it.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

use plankhill_decisions::interface::Ms;

/// Interval over which the first requests of a fleet that starts at once are spread, in milliseconds.
const FIRST_REQUEST_SPREAD: Ms = 2_000.0;
/// The backoff after the first failed request, in milliseconds. It doubles with each further failure, up to a third of
/// the time within which the list has to be requested again.
const MIN_BACKOFF: Ms = 500.0;
/// Maximum number of times that the backoff doubles.
const MAX_DOUBLINGS: u32 = 5;

/// Schedule of a forwarder's requests. The simulator reports a failure by a list event in mode `Error`.
pub struct Subscription {
    request_within: Ms,
    seed: u64,
    failures: u32,
}

impl Subscription {
    /// Creates the schedule. `request_within`: time in milliseconds within which the list has to be requested again.
    pub fn new(request_within: Ms, seed: u64) -> Self {
        Subscription {
            request_within,
            seed,
            failures: 0,
        }
    }

    /// Delay before the first request, in milliseconds.
    pub fn first_delay(&self) -> Ms {
        FIRST_REQUEST_SPREAD * self.draw()
    }

    /// Resets the backoff after a request was answered.
    pub fn on_answered(&mut self) {
        self.failures = 0;
    }

    /// Records that a request failed or the subscription ended. Returns the delay before the next request, in
    /// milliseconds.
    pub fn on_failed(&mut self) -> Ms {
        let doubled = MIN_BACKOFF * f64::from(1 << self.failures.min(MAX_DOUBLINGS));
        self.failures += 1;
        let backoff = doubled.min(self.request_within / 3.0).max(MIN_BACKOFF);
        backoff * (0.75 + 0.5 * self.draw())
    }

    /// A value uniformly distributed in [0, 1), determined by the seed and the number of failures alone.
    fn draw(&self) -> f64 {
        let mut hasher = DefaultHasher::new();
        (self.seed, self.failures, "subscription").hash(&mut hasher);
        (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
    }
}

#[cfg(test)]
mod tests;
