//! Where the list answers only when asked, each instance asks for its changes from its start on, and anew
//! after a failure: a list that nobody asked for counts as told all the same.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

use plankhill_decisions::interface::Ms;

/// The first calls of a fleet that starts at once are drawn over this span, milliseconds.
const FIRST: Ms = 2_000.0;
/// The pause after a failed call, doubling up to a third of the time by which to ask again, milliseconds.
const PAUSE: Ms = 500.0;

/// When an instance asks next. The bench tells of a failure, by a list event in mode `Error`.
pub struct Subscription {
    ask_within: Ms,
    seed: u64,
    failures: u32,
}

impl Subscription {
    pub fn new(ask_within: Ms, seed: u64) -> Self {
        Subscription {
            ask_within,
            seed,
            failures: 0,
        }
    }

    /// Milliseconds to the first call.
    pub fn first(&self) -> Ms {
        FIRST * self.draw()
    }

    /// A call was answered.
    pub fn told(&mut self) {
        self.failures = 0;
    }

    /// A call failed, or what was asked for broke off: milliseconds to the next call.
    pub fn failed(&mut self) -> Ms {
        let pause = PAUSE * f64::from(1 << self.failures.min(5));
        self.failures += 1;
        pause.min(self.ask_within / 3.0).max(PAUSE) * (0.75 + 0.5 * self.draw())
    }

    fn draw(&self) -> f64 {
        let mut hasher = DefaultHasher::new();
        (self.seed, self.failures, "subscription").hash(&mut hasher);
        (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
    }
}

#[cfg(test)]
mod tests {
    use super::Subscription;

    #[test]
    fn a_list_that_stays_away_is_asked_often_enough_to_count_as_asked() {
        let mut subscription = Subscription::new(10_000.0, 7);
        let pauses: Vec<f64> = (0..40).map(|_| subscription.failed()).collect();
        assert!(
            pauses.iter().all(|pause| (300.0..5_000.0).contains(pause)),
            "{pauses:?}"
        );
        subscription.told();
        assert!(
            subscription.failed() < 700.0,
            "a list that is back is near again"
        );
    }
}
