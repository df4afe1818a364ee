//! Tuned values that several modules share, and the defaults of what deployments tune. A value that
//! one module alone reads stands there.

use crate::interface::{AttemptOutcome, Ms, RetryBackoff, Tuning};

/// The time constant of a destination's usual traffic: long enough to know it, short against the
/// length of a busy hour.
pub(super) const USUAL_TRAFFIC_WINDOW: Ms = 60_000.0;

/// The time constant of response times: some ten responses at a call or two a second. 4, 7 and 15 s
/// serve alike.
pub(super) const RESPONSE_TIME_WINDOW: Ms = 7_000.0;

/// The time constant of the calls that a rejection's pace is measured by.
pub(super) const RECENT_CALLS_WINDOW: Ms = 2_000.0;

/// The time constant of the calls that left in one burst.
pub(super) const BURST_WINDOW: Ms = RECENT_CALLS_WINDOW / 4.0;

/// The time constant of the evidence on idle connections: longer than an outage mostly lasts.
pub(super) const CONNECTION_EVIDENCE_WINDOW: Ms = 60_000.0;

/// A connection that has been idle for less is reused and does no harm: about as long as a call. 1
/// ms serves alike.
pub(super) const IDLE_CONNECTION_GRACE: Ms = 300.0;

/// Between two health checks of an offline lane, at the least (`docs/design.md`).
pub(super) const HEALTH_CHECK_INTERVAL: Ms = 1000.0;

/// A retry-after that is longer is that of a destination that is closed, which has to warm up
/// afterwards.
pub(super) const LONG_RETRY_AFTER: Ms = 2.0 * HEALTH_CHECK_INTERVAL;

/// Calls a second past which the lesson of a rejection is unlearned by the call, not by the second.
pub(super) const FREQUENT_CALLS_PER_SECOND: f64 = 5.0;

/// The upper bound of the shortest time that a call is given: six times a common response of 250
/// ms.
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
    /// The upper bound of the first spread after a rejection, in milliseconds, before the spread
    /// grows with the rejections in a row.
    pub fn max_initial_spread(&self) -> Ms {
        if self.paces_calls {
            1000.0
        } else {
            0.0
        }
    }
}

impl RetryBackoff {
    /// The backoff in milliseconds after an event's first attempt, if it ended so.
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
