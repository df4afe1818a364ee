//! The time scale of the dispatcher: milliseconds since the start of the process.

use std::time::Duration;

use plankhill_dispatch::Ms;
use tokio::time::Instant;

/// Longer time spans are reduced to this: one year, in milliseconds.
const MAX_SPAN: Ms = 31_536_000_000.0;

/// The monotonic clock of this process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Clock {
            start: Instant::now(),
        }
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> Ms {
        milliseconds(self.start.elapsed())
    }

    /// The instant at which [`Clock::now`] returns `at`.
    pub fn instant(&self, at: Ms) -> Instant {
        self.start + duration(at)
    }
}

/// Converts a duration to milliseconds.
pub fn milliseconds(span: Duration) -> Ms {
    span.as_secs_f64() * 1_000.0
}

/// Converts milliseconds to a duration. Negative values and NaN become zero; values above one year
/// become one year.
pub fn duration(span: Ms) -> Duration {
    if span.is_nan() {
        return Duration::ZERO;
    }
    Duration::from_secs_f64(span.clamp(0.0, MAX_SPAN) / 1_000.0)
}
