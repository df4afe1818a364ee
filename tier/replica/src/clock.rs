//! The member's clock.

use std::time::{Duration, Instant};

use plankhill_chain::timing::CONFIRMATION_TTL;
use plankhill_chain::Millis;

/// The clock's time at the start of its process. The clock does not begin at 0: a confirmation may
/// concern a time before the member started, up to the time for which a confirmation counts.
pub(crate) const STARTED_AT: Millis = CONFIRMATION_TTL;

/// Milliseconds since the start of the replica, never going back.
pub(crate) struct Clock {
    started: Instant,
}

impl Clock {
    /// A clock whose time is [`STARTED_AT`] now.
    pub(crate) fn start() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// The time now.
    pub(crate) fn now(&self) -> Millis {
        let elapsed = Millis::try_from(self.started.elapsed().as_millis()).unwrap_or(Millis::MAX);
        STARTED_AT.saturating_add(elapsed)
    }

    /// The instant at which the clock reaches this time.
    pub(crate) fn instant_of(&self, time: Millis) -> Instant {
        self.started + Duration::from_millis(time.saturating_sub(STARTED_AT))
    }
}

/// A time so long after `now`. A timeout too long for the clock ends about as late as the clock can
/// count.
pub(crate) fn deadline(now: Millis, timeout: Duration) -> Millis {
    now + Millis::try_from(timeout.as_millis()).unwrap_or(Millis::MAX >> 1)
}
