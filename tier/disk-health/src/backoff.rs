//! Delays between attempts to use a disk that refused a write.

use std::time::Duration;

/// Delay before the first retry: short, because a disk that fails only for a moment is usable again soon.
const INITIAL_DELAY: Duration = Duration::from_millis(100);
/// Maximum delay: a disk that has free space again is used again within this time.
const MAX_DELAY: Duration = Duration::from_secs(2);

/// Exponential backoff without jitter: delays double up to two seconds.
///
/// Jitter is not needed: each disk has one caller, so attempts of several callers cannot coincide.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    next: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Backoff {
            next: INITIAL_DELAY,
        }
    }
}

impl Backoff {
    /// Creates a backoff whose first delay is `initial` instead of 100 ms.
    pub fn with_initial_delay(initial: Duration) -> Self {
        Backoff { next: initial }
    }

    /// Returns the delay before the next attempt: twice the previous delay, and at most two seconds from
    /// the second delay on.
    pub fn next_delay(&mut self) -> Duration {
        let delay = self.next;
        self.next = MAX_DELAY.min(delay * 2);
        delay
    }
}
