//! Time as the dispatcher counts it: milliseconds since the start of the process.

use std::time::Duration;

use plankhill_dispatch::Ms;
use tokio::time::Instant;

/// The longest span that is told apart from "for ever": a year.
const MAX_SPAN: Ms = 31_536_000_000.0;

/// The monotonic clock of this process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that shows zero now.
    pub fn start() -> Self {
        Clock {
            start: Instant::now(),
        }
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> Ms {
        milliseconds(self.start.elapsed())
    }

    /// The moment at which [`Clock::now`] returns `at`.
    pub fn instant(&self, at: Ms) -> Instant {
        self.start + duration(at)
    }
}

/// A span in milliseconds.
pub fn milliseconds(span: Duration) -> Ms {
    span.as_secs_f64() * 1_000.0
}

/// A span from milliseconds. Negative ones and NaN become zero, longer ones than a year a year.
pub fn duration(span: Ms) -> Duration {
    if span.is_nan() {
        return Duration::ZERO;
    }
    Duration::from_secs_f64(span.clamp(0.0, MAX_SPAN) / 1_000.0)
}
