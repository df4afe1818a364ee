//! Delays between attempts to use a disk that refused a write.

use std::time::Duration;

/// The first delay. A disk that fails for a moment is usable again soon.
const INITIAL_DELAY: Duration = Duration::from_millis(100);
/// The longest delay: a disk that has free space again is used again within this time.
const MAX_DELAY: Duration = Duration::from_secs(2);

/// Exponential backoff without jitter: delays double up to two seconds.
///
/// One disk has one caller, so that attempts of several callers cannot fall together.
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
    /// A backoff whose first delay is `initial` in place of 100 ms.
    pub fn with_initial_delay(initial: Duration) -> Self {
        Backoff { next: initial }
    }

    /// The delay before the next attempt; twice the delay before, two seconds at most from the second
    /// delay on.
    pub fn next_delay(&mut self) -> Duration {
        let delay = self.next;
        self.next = MAX_DELAY.min(delay * 2);
        delay
    }
}
