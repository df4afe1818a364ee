//! Time as the dispatcher counts it: milliseconds since the start of the process.

use std::time::Duration;

use plankhill_dispatch::Ms;
use tokio::time::Instant;

/// The steady clock of this process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts at zero.
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

/// The longest span that is told apart from "for ever": a year.
const LONGEST_MS: Ms = 31_536_000_000.0;

/// A span from milliseconds; negative ones and no numbers are nothing, excessive ones a year.
pub fn duration(span: Ms) -> Duration {
    if span.is_nan() {
        return Duration::ZERO;
    }
    Duration::from_secs_f64(span.clamp(0.0, LONGEST_MS) / 1_000.0)
}
