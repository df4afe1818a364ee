//! Tuned constants that several modules share, and the defaults of [`Tuning`]. A constant that only
//! one module uses is in that module.

use crate::interface::{AttemptOutcome, Ms, RetryBackoff, Tuning};

/// Time constant of a destination's usual traffic: long enough to estimate the rate, short compared
/// with a busy hour.
pub(super) const USUAL_TRAFFIC_WINDOW: Ms = 60_000.0;

/// Time constant of response times: about ten responses at one or two calls a second. 4, 7 and 15 s
/// perform alike.
pub(super) const RESPONSE_TIME_WINDOW: Ms = 7_000.0;

/// Time constant of the recent call rate, from which a rejection sets the pace.
pub(super) const RECENT_CALLS_WINDOW: Ms = 2_000.0;

/// Time constant of the call rate within a burst.
pub(super) const BURST_WINDOW: Ms = RECENT_CALLS_WINDOW / 4.0;

/// Time constant of the call statistics of a destination kind, which decide among others on the
/// closing of idle connections: longer than most outages.
pub(super) const CONNECTION_EVIDENCE_WINDOW: Ms = 60_000.0;

/// Idle time up to which a connection is reused without risk: about the duration of a call. 1 ms
/// performs alike.
pub(super) const IDLE_CONNECTION_GRACE: Ms = 300.0;

/// Minimum time between two health checks of an offline lane, before jitter (`docs/design.md`).
pub(super) const HEALTH_CHECK_INTERVAL: Ms = 1000.0;

/// A longer retry-after indicates a closed destination, which has to warm up afterwards.
pub(super) const LONG_RETRY_AFTER: Ms = 2.0 * HEALTH_CHECK_INTERVAL;

/// Call rate, in calls per second, above which recovery from a rejection depends on the number of
/// calls instead of the time.
pub(super) const FREQUENT_CALLS_PER_SECOND: f64 = 5.0;

/// Upper bound of the minimum call timeout: six times a typical response time of 250 ms.
pub(super) const MAX_MIN_CALL_TIMEOUT: Ms = 1500.0;

impl Default for Tuning {
    fn default() -> Self {
        let retry_backoff = RetryBackoff {
            after_failure: 500.0,
            after_rejection: 250.0,
            after_unsent: 500.0,
        };
        Tuning {
            retry_backoff,
            paces_calls: true,
            release_on_health_check_only: false,
        }
    }
}

impl Tuning {
    /// Returns the upper bound, in milliseconds, of the initial spread after a rejection, before it
    /// grows with consecutive rejections.
    pub fn max_initial_spread(&self) -> Ms {
        if self.paces_calls {
            1000.0
        } else {
            0.0
        }
    }
}

impl RetryBackoff {
    /// Returns the backoff in milliseconds after an event's first attempt, by the outcome of that
    /// attempt.
    pub fn initial(&self, outcome: AttemptOutcome) -> Ms {
        match outcome {
            AttemptOutcome::Rejected => self.after_rejection,
            AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent => self.after_unsent,
            AttemptOutcome::Delivered
            | AttemptOutcome::Error
            | AttemptOutcome::TimedOut
            | AttemptOutcome::Reset
            | AttemptOutcome::Cancelled => self.after_failure,
        }
    }
}
