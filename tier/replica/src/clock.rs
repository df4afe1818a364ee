//! The monotonic clock of the chain member.

use std::time::{Duration, Instant};

use plankhill_chain::timing::CONFIRMATION_TTL;
use plankhill_chain::Millis;

/// The clock's time when the replica starts. The clock does not start at 0 because a confirmation may
/// refer to a time before the member started, by up to [`CONFIRMATION_TTL`].
pub(crate) const STARTED_AT: Millis = CONFIRMATION_TTL;

/// A monotonic clock in milliseconds that reads [`STARTED_AT`] when the replica starts.
pub(crate) struct Clock {
    started: Instant,
}

impl Clock {
    /// Starts a clock at [`STARTED_AT`].
    pub(crate) fn start() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// Returns the current time.
    pub(crate) fn now(&self) -> Millis {
        let elapsed = Millis::try_from(self.started.elapsed().as_millis()).unwrap_or(Millis::MAX);
        STARTED_AT.saturating_add(elapsed)
    }

    /// Returns the instant at which the clock reaches `time`.
    pub(crate) fn instant_of(&self, time: Millis) -> Instant {
        self.started + Duration::from_millis(time.saturating_sub(STARTED_AT))
    }
}

/// Returns the time `timeout` after `now`. A timeout that [`Millis`] cannot represent is replaced by
/// half of the largest value.
pub(crate) fn deadline(now: Millis, timeout: Duration) -> Millis {
    now + Millis::try_from(timeout.as_millis()).unwrap_or(Millis::MAX >> 1)
}
