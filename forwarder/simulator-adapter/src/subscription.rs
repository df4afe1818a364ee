//! Where the endpoint list is sent only when asked for, each forwarder asks for its changes from its start on, and
//! anew after a failure: a change that nobody asked for counts as reported all the same.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

use plankhill_decisions::interface::Ms;

/// The first requests of a fleet that starts at once are drawn over this span, in milliseconds.
const FIRST_REQUEST_SPREAD: Ms = 2_000.0;
/// The backoff after a failed request, doubling up to a third of the time by which to ask again, in milliseconds.
const MIN_BACKOFF: Ms = 500.0;
/// Failures beyond that double the backoff no more.
const MAX_DOUBLINGS: u32 = 5;

/// When a forwarder asks next. The simulator reports a failure by a list event in mode `Error`.
pub struct Subscription {
    ask_within: Ms,
    seed: u64,
    failures: u32,
}

impl Subscription {
    /// `ask_within`: in milliseconds, by when to ask again.
    pub fn new(ask_within: Ms, seed: u64) -> Self {
        Subscription {
            ask_within,
            seed,
            failures: 0,
        }
    }

    /// Milliseconds to the first request.
    pub fn first_delay(&self) -> Ms {
        FIRST_REQUEST_SPREAD * self.draw()
    }

    /// A request was answered.
    pub fn on_answered(&mut self) {
        self.failures = 0;
    }

    /// A request failed, or the subscription broke off: milliseconds to the next request.
    pub fn on_failed(&mut self) -> Ms {
        let doubled = MIN_BACKOFF * f64::from(1 << self.failures.min(MAX_DOUBLINGS));
        self.failures += 1;
        let backoff = doubled.min(self.ask_within / 3.0).max(MIN_BACKOFF);
        backoff * (0.75 + 0.5 * self.draw())
    }

    /// Uniform in [0, 1), from the seed and the failures alone.
    fn draw(&self) -> f64 {
        let mut hasher = DefaultHasher::new();
        (self.seed, self.failures, "subscription").hash(&mut hasher);
        (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
    }
}

#[cfg(test)]
mod tests;
