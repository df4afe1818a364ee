//! Backoff of requests to discovery after a refusal or timeout.
//!
//! Forwarders that are refused at the same time must not retry at the same time. With a fixed
//! interval of 50 ms, a hundred forwarders started at once by a release send two thousand requests
//! per second, and an overloaded discovery stays overloaded: no forwarder receives a change of the
//! list all day. Therefore the bound doubles with each consecutive failure, and each backoff is
//! drawn between a share of the bound and the full bound, from the forwarder's own seed and name,
//! so that the forwarders spread out.
//!
//! Owned by the watch.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::time::{Duration, Instant};

use plankhill_decisions::interface::Ms;

/// Minimum and maximum of a bound.
struct Limits {
    min: Ms,
    max: Ms,
}

impl Limits {
    fn clamp(&self, value: Ms) -> Ms {
        value.clamp(self.min, self.max)
    }
}

/// First bound, per forwarder of the fleet: an overloaded discovery answered one request in about
/// 55 ms, so a hundred forwarders that start together spread their first retries over two seconds.
/// A single forwarder waits 50 ms.
const FIRST_BACKOFF_PER_FORWARDER: Ms = 20.0;
const FIRST_BACKOFF: Limits = Limits {
    min: 50.0,
    max: 2_000.0,
};
/// Longest bound, per forwarder. Never more than 5 s from one request to the next: whatever failed,
/// a change counts as reported 6 s after discovery had it and was reachable, and the last second is
/// for the response (see the time budget in `watch.rs`). Each forwarder then sends a request at
/// least every 5 s; a hundred forwarders together send some 22 per second, while an overloaded
/// discovery answered eighteen.
const MAX_BACKOFF_PER_FORWARDER: Ms = 100.0;
const MAX_BACKOFF: Limits = Limits {
    min: 2_000.0,
    max: 5_000.0,
};
/// Minimum of a backoff, as a share of its bound. The first backoff at the longest bound spreads a
/// fleet over the full bound; later ones need no spreading, and shorter ones would only cost
/// discovery requests. Of a hundred forwarders at most 35 then send a request in one second (median
/// of 200 randomly drawn fleets); with a share of one half throughout it is 38, and 27 per second
/// instead of 22.
const MIN_SHARE: f64 = 0.5;
const MIN_SHARE_SPREADING: f64 = 0.3;
const MIN_SHARE_SPREAD: f64 = 0.8;
/// Further failures do not double the bound.
const MAX_DOUBLINGS: u32 = 16;

/// The backoff of one forwarder.
#[derive(Debug)]
pub struct Backoff {
    seed: u64,
    failures: u32,
    /// Whether a backoff at the longest bound was drawn since the last response.
    is_spread: bool,
    first: Ms,
    max: Ms,
}

impl Backoff {
    /// Backoff for a discovery that a fleet shares. The backoffs of two forwarders differ if their
    /// seeds or names do; `forwarders` is the size of the fleet.
    pub fn for_fleet(seed: u64, name: &str, forwarders: f64) -> Self {
        let mut hasher = DefaultHasher::new();
        (seed, name).hash(&mut hasher);
        Backoff {
            seed: hasher.finish(),
            failures: 0,
            is_spread: false,
            first: FIRST_BACKOFF.clamp(FIRST_BACKOFF_PER_FORWARDER * forwarders),
            max: MAX_BACKOFF.clamp(MAX_BACKOFF_PER_FORWARDER * forwarders),
        }
    }

    /// Backoff for an agent on the same machine: requests cost it nothing, and a change that it has
    /// counts as reported immediately.
    pub fn for_local_agent() -> Self {
        let first = FIRST_BACKOFF.min;
        Backoff {
            seed: 0,
            failures: 0,
            is_spread: false,
            first,
            max: first,
        }
    }

    /// Time of the next request. A discovery that refuses is busy, so the full backoff starts at
    /// the refusal: with a backoff that started at the request, a discovery that took two seconds
    /// to refuse stayed overloaded until 30 s instead of 12 s (herd+vast). After a timeout the
    /// backoff starts at the request, since the wait was a backoff itself, and that of a watch is
    /// longer than any backoff. The next request is at most 5 s after the previous one, or, after a
    /// watch that was open for long before it failed, at most 2.5 s after the failure.
    pub fn retry_at(&mut self, requested: Instant, failed: Instant, timed_out: bool) -> Instant {
        let max = Duration::from_secs_f64(MAX_BACKOFF.max / 1000.0);
        let start = if timed_out { requested } else { failed };
        let retry_at = start + self.next_backoff();
        retry_at.min((requested + max).max(failed + max / 2))
    }

    /// Counts one more consecutive failure, and draws its backoff.
    fn next_backoff(&mut self) -> Duration {
        let doublings = self.failures.min(MAX_DOUBLINGS) as i32;
        let bound = self.first * f64::powi(2.0, doublings);
        let min_share = if bound < self.max {
            MIN_SHARE
        } else if self.is_spread {
            MIN_SHARE_SPREAD
        } else {
            self.is_spread = true;
            MIN_SHARE_SPREADING
        };
        self.failures += 1;
        let mut hasher = DefaultHasher::new();
        (self.seed, self.failures).hash(&mut hasher);
        let draw = hasher.finish() as f64 / u64::MAX as f64;
        let share = min_share + (1.0 - min_share) * draw;
        Duration::from_secs_f64(bound.min(self.max) * share / 1000.0)
    }

    /// Resets the backoff after a response: the next failure starts with the first bound.
    pub fn reset(&mut self) {
        self.failures = 0;
        self.is_spread = false;
    }
}

#[cfg(test)]
mod tests;
