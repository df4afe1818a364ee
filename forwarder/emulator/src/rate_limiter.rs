//! The rate limit of a destination, which admits a call or rejects it with a retry-after.

use std::collections::VecDeque;

use plankhill_forwarder_config::scenario::{Limit, LimitKind, Ms};

/// The usage of a limit.
#[derive(Clone, Debug, Default)]
pub struct RateLimiter {
    /// Calls in the window, or tokens taken, as of `at`.
    used: f64,
    at: Ms,
    /// The calls in a sliding window.
    recent: VecDeque<Ms>,
    /// Calls being served, for a limit on concurrency.
    pub inside: usize,
}

impl RateLimiter {
    /// Admits a call, or returns the time at which the limit admits the next one, if the kind of limit
    /// determines that.
    /// `factor` is the share of the limit that a fault leaves.
    pub fn admit(&mut self, limit: &Limit, factor: f64, now: Ms) -> Result<(), Option<Ms>> {
        let calls = limit.calls * factor;
        match limit.kind {
            LimitKind::None => Ok(()),
            LimitKind::Concurrency if (self.inside as f64) < calls => Ok(()),
            LimitKind::Concurrency => Err(None),
            LimitKind::Rate => {
                let burst = (limit.burst * factor).max(1.0);
                self.used = (self.used - calls * (now - self.at) / 1000.0).max(0.0);
                self.at = now;
                let fits = self.used + 1.0 <= burst;
                if fits || limit.counts_rejected_calls {
                    self.used = (self.used + 1.0).min(2.0 * burst);
                }
                let admits_at = now + 1000.0 * (self.used + 1.0 - burst).max(0.0) / calls.max(1e-9);
                if fits {
                    Ok(())
                } else {
                    Err(Some(admits_at))
                }
            }
            LimitKind::FixedWindow => {
                let window = (now / limit.window).floor();
                if window > self.at {
                    (self.at, self.used) = (window, 0.0);
                }
                let fits = self.used + 1.0 <= calls;
                if fits || limit.counts_rejected_calls {
                    self.used += 1.0;
                }
                if fits {
                    Ok(())
                } else {
                    Err(Some((window + 1.0) * limit.window))
                }
            }
            LimitKind::SlidingWindow => {
                while self
                    .recent
                    .front()
                    .is_some_and(|at| *at <= now - limit.window)
                {
                    self.recent.pop_front();
                }
                let fits = (self.recent.len() as f64) + 1.0 <= calls;
                // Rejected calls are recorded up to the limit only: more would make no difference.
                if !fits && limit.counts_rejected_calls {
                    self.recent.pop_front();
                }
                if fits || limit.counts_rejected_calls {
                    self.recent.push_back(now);
                }
                let first = self.recent.front().copied().unwrap_or(now);
                if fits {
                    Ok(())
                } else {
                    Err(Some(first + limit.window))
                }
            }
        }
    }

    /// Calls per second that the limit admits in the long run.
    pub fn rate(limit: &Limit) -> f64 {
        match limit.kind {
            LimitKind::Rate => limit.calls,
            LimitKind::FixedWindow | LimitKind::SlidingWindow => {
                1000.0 * limit.calls / limit.window
            }
            LimitKind::None | LimitKind::Concurrency => f64::INFINITY,
        }
    }
}
