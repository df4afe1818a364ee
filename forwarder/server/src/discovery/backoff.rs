//! When to ask discovery again after it refused or timed out.
//!
//! A fleet that is refused together must not come back together. With a fixed interval of 50 ms, a hundred forwarders
//! that a release started at once ask two thousand times a second, and a discovery that is overbooked stays so for all
//! of them: none learns a change of the list all day. So the bound doubles with each failure in a row, and each backoff
//! is drawn between a share of the bound and the whole, from the forwarder's own seed and name, so that forwarders
//! drift apart.
//!
//! Owned by the watch.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::time::{Duration, Instant};

use plankhill_decisions::interface::Ms;

/// Least and greatest value of a bound.
struct Limits {
    min: Ms,
    max: Ms,
}

impl Limits {
    fn clamp(&self, value: Ms) -> Ms {
        value.clamp(self.min, self.max)
    }
}

/// The first bound, for each forwarder of the fleet: an overbooked discovery answered one request in about 55 ms, so a
/// hundred forwarders that start together spread their first retries over two seconds. One forwarder alone waits 50 ms.
const FIRST_BACKOFF_PER_FORWARDER: Ms = 20.0;
const FIRST_BACKOFF: Limits = Limits {
    min: 50.0,
    max: 2_000.0,
};
/// The longest bound, for each forwarder. Never over 5 s, from one request to the next: whatever failed, a change counts
/// as reported 6 s after discovery had it and could be reached, and the response has the last second (see the sum in
/// `watch.rs`). A fleet then asks at least once in 5 s each; a hundred some 22 times a second together, where an
/// overbooked discovery answered eighteen.
const MAX_BACKOFF_PER_FORWARDER: Ms = 100.0;
const MAX_BACKOFF: Limits = Limits {
    min: 2_000.0,
    max: 5_000.0,
};
/// The least of a backoff, as a share of its bound. The first backoff at the longest bound spreads a fleet over that
/// whole span; those after it need no spreading, and a shorter one would only cost discovery requests. Of a hundred
/// forwarders at most 35 then ask in one second (the median of 200 fleets drawn); with halves throughout 38, and 27
/// each second instead of 22.
const MIN_SHARE: f64 = 0.5;
const MIN_SHARE_SPREADING: f64 = 0.3;
const MIN_SHARE_SPREAD: f64 = 0.8;
/// Failures beyond that double the bound no more.
const MAX_DOUBLINGS: u32 = 16;

/// The backoff of one forwarder.
#[derive(Debug)]
pub struct Backoff {
    seed: u64,
    failures: u32,
    /// Whether a backoff at the longest bound was drawn since the last response.
    spread: bool,
    first: Ms,
    max: Ms,
}

impl Backoff {
    /// Backoffs of two forwarders differ where their seeds or names do; `forwarders` is the fleet's size.
    pub fn for_fleet(seed: u64, name: &str, forwarders: f64) -> Self {
        let mut hasher = DefaultHasher::new();
        (seed, name).hash(&mut hasher);
        Backoff {
            seed: hasher.finish(),
            failures: 0,
            spread: false,
            first: FIRST_BACKOFF.clamp(FIRST_BACKOFF_PER_FORWARDER * forwarders),
            max: MAX_BACKOFF.clamp(MAX_BACKOFF_PER_FORWARDER * forwarders),
        }
    }

    /// Of an agent on the same machine: it answers at no cost, and what it has counts as reported at once.
    pub fn for_local_agent() -> Self {
        let first = FIRST_BACKOFF.min;
        Backoff {
            seed: 0,
            failures: 0,
            spread: false,
            first,
            max: first,
        }
    }

    /// When to ask again. A discovery that refuses is busy, and has the whole backoff: counted from the request, an
    /// overbooked discovery that takes two seconds to refuse stayed so until 30 s, not 12 (herd+vast). A timeout was a
    /// backoff, and that of a watch a longer one than any. From one request to the next it is 5 s at most; behind a
    /// watch that stood for long before it failed, half of that.
    pub fn retry_at(&mut self, asked: Instant, failed: Instant, timed_out: bool) -> Instant {
        let max = Duration::from_secs_f64(MAX_BACKOFF.max / 1000.0);
        let counted_from = if timed_out { asked } else { failed };
        let retry_at = counted_from + self.next_backoff();
        retry_at.min((asked + max).max(failed + max / 2))
    }

    /// After one more failure in a row.
    fn next_backoff(&mut self) -> Duration {
        let doublings = self.failures.min(MAX_DOUBLINGS) as i32;
        let bound = self.first * f64::powi(2.0, doublings);
        let min_share = if bound < self.max {
            MIN_SHARE
        } else if self.spread {
            MIN_SHARE_SPREAD
        } else {
            self.spread = true;
            MIN_SHARE_SPREADING
        };
        self.failures += 1;
        let mut hasher = DefaultHasher::new();
        (self.seed, self.failures).hash(&mut hasher);
        let draw = hasher.finish() as f64 / u64::MAX as f64;
        let share = min_share + (1.0 - min_share) * draw;
        Duration::from_secs_f64(bound.min(self.max) * share / 1000.0)
    }

    /// Discovery answered: the next failure starts short again.
    pub fn reset(&mut self) {
        self.failures = 0;
        self.spread = false;
    }
}

#[cfg(test)]
mod tests;
