//! How long to wait before discovery is asked again after it refused or fell silent.
//!
//! A fleet that is refused together must not come back together. With a fixed pause of 50 ms, a hundred
//! forwarders that a release started at once ask two thousand times a second, and a discovery that is
//! overbooked stays so for all of them: none learns a change of the list all day. So the bound doubles with
//! each failure in a row, and each pause is drawn between a share of it and the whole, from the forwarder's
//! own seed and name, so that forwarders drift apart.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::time::{Duration, Instant};

use plankhill_decisions::interface::Ms;

/// The first bound, for each forwarder of the fleet: discovery, when it was overbooked, answered one ask in
/// about 55 ms, so a hundred forwarders that start together spread their first tries over two seconds. One
/// forwarder alone waits 50 ms.
const FIRST_EACH: Ms = 20.0;
const FIRST: (Ms, Ms) = (50.0, 2_000.0);
/// The longest bound, for each forwarder. Never over 5 s, from one ask to the next: whatever failed, news counts as
/// told 6 s after discovery had it and could be reached, and the answer has the last second (see the sum in
/// `list.rs`). A fleet then asks at least once in 5 s each; a hundred some 22 times a second together, where an
/// overbooked discovery answered eighteen.
const LONGEST_EACH: Ms = 100.0;
const LONGEST: (Ms, Ms) = (2_000.0, 5_000.0);
/// The least of a pause, as a share of its bound. The first pause at the longest bound spreads a fleet over that whole
/// span; those after it need no spreading, and a shorter one would only cost discovery asks. Of a hundred
/// forwarders at most 35 then ask in one second (the median of 200 fleets drawn); with halves throughout 38, and
/// 27 each second instead of 22.
const LEAST: f64 = 0.5;
const LEAST_SPREADING: f64 = 0.3;
const LEAST_SPREAD: f64 = 0.8;

#[derive(Debug)]
pub struct Pause {
    seed: u64,
    failures: u32,
    /// Whether a pause at the longest bound was drawn since the last answer.
    spread: bool,
    first: Ms,
    longest: Ms,
}

impl Pause {
    /// Pauses of two forwarders differ where their seeds or names do; `forwarders` is the fleet's size.
    pub fn new(seed: u64, name: &str, forwarders: f64) -> Self {
        let mut hasher = DefaultHasher::new();
        (seed, name).hash(&mut hasher);
        let first = (FIRST_EACH * forwarders).clamp(FIRST.0, FIRST.1);
        let longest = (LONGEST_EACH * forwarders).clamp(LONGEST.0, LONGEST.1);
        Pause {
            seed: hasher.finish(),
            failures: 0,
            spread: false,
            first,
            longest,
        }
    }

    /// Of an agent beside us: it answers at no cost, and what it has counts as told at once.
    pub fn beside() -> Self {
        Pause {
            seed: 0,
            failures: 0,
            spread: false,
            first: FIRST.0,
            longest: FIRST.0,
        }
    }

    /// When to ask again. Whoever refuses is busy, and has the whole pause: counted from the ask, an overbooked
    /// discovery that takes two seconds to refuse stayed so until 30 s, not 12 (herd+vast). Silence was a pause,
    /// and a silent watch a longer one than any. From one ask to the next it is 5 s at most; behind a watch that stood
    /// for long before it failed, half of that.
    pub fn over_at(&mut self, asked: Instant, failed: Instant, silent: bool) -> Instant {
        let most = Duration::from_secs_f64(LONGEST.1 / 1000.0);
        let over = (if silent { asked } else { failed }) + self.next();
        over.min((asked + most).max(failed + most / 2))
    }

    /// After one more failure in a row.
    fn next(&mut self) -> Duration {
        let bound = self.first * f64::powi(2.0, self.failures.min(16) as i32);
        let least = match bound >= self.longest {
            false => LEAST,
            true if std::mem::replace(&mut self.spread, true) => LEAST_SPREAD,
            true => LEAST_SPREADING,
        };
        self.failures += 1;
        let mut hasher = DefaultHasher::new();
        (self.seed, self.failures).hash(&mut hasher);
        let chance = hasher.finish() as f64 / u64::MAX as f64;
        Duration::from_secs_f64(bound.min(self.longest) * (least + (1.0 - least) * chance) / 1000.0)
    }

    /// Discovery answered: the next failure starts short again.
    pub fn answered(&mut self) {
        (self.failures, self.spread) = (0, false);
    }
}

#[cfg(test)]
mod tests;
