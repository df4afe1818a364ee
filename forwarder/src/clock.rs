//! The system clock's time at the start, carried on by the monotonic clock: it never jumps in a life, and
//! what is written down with it can be read in the next.

use std::time::{Duration, Instant, SystemTime};

use plankhill::interface::Ms;

#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    unix: Ms,
}

impl Clock {
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), unix: unix.as_secs_f64() * 1000.0 }
    }

    pub fn now(&self) -> Ms {
        self.unix + self.started.elapsed().as_secs_f64() * 1000.0
    }

    pub fn instant(&self, at: Ms) -> Instant {
        self.started + millis(at - self.unix)
    }
}

/// A span for the timers: none ends before it begins, and none is longer than a year.
pub fn millis(span: Ms) -> Duration {
    Duration::from_secs_f64((span / 1000.0).clamp(0.0, 365.0 * 86_400.0))
}
