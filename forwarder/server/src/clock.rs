//! Clock for the decisions: the system time at the start of the process, advanced by the monotonic
//! clock. The clock never jumps within a process, and the next process can interpret recorded
//! times. Shared by all tasks.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use plankhill_decisions::interface::Ms;

/// Longest duration of a timer: one year.
const MAX_TIMER_SECONDS: f64 = 365.0 * 86_400.0;

/// Clock in milliseconds since the Unix epoch; clones share their offset.
#[derive(Clone)]
pub struct Clock {
    started: Instant,
    /// Time of this clock at `started`.
    unix_at_start: Rc<Cell<Ms>>,
}

impl Clock {
    /// Starts a clock at the current system time.
    pub fn start() -> Self {
        Clock {
            started: Instant::now(),
            unix_at_start: Rc::new(Cell::new(system_time())),
        }
    }

    /// Adopts the clock of the process that this one takes over from, which is `offset` ahead of
    /// the system clock.
    pub fn adopt_offset(&self, offset: Ms) {
        let change = offset - self.offset_from_system_clock();
        self.unix_at_start.set(self.unix_at_start.get() + change);
    }

    /// How far this clock is ahead of the system clock, which may have been adjusted since the
    /// start.
    pub fn offset_from_system_clock(&self) -> Ms {
        self.now() - system_time()
    }

    pub fn now(&self) -> Ms {
        self.at(Instant::now())
    }

    /// Time of this clock at an instant of this process.
    pub fn at(&self, instant: Instant) -> Ms {
        self.unix_at_start.get() + (instant - self.started).as_secs_f64() * 1000.0
    }

    /// Instant at which this clock reads `at`; not before the start of this process.
    pub fn instant(&self, at: Ms) -> Instant {
        self.started + to_duration(at - self.unix_at_start.get())
    }
}

fn system_time() -> Ms {
    let since_epoch = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    since_epoch.as_secs_f64() * 1000.0
}

/// Converts milliseconds to a duration for timers, clamped to between zero and one year.
pub fn to_duration(span: Ms) -> Duration {
    Duration::from_secs_f64((span / 1000.0).clamp(0.0, MAX_TIMER_SECONDS))
}

/// Converts a duration to milliseconds.
pub fn to_ms(duration: Duration) -> Ms {
    duration.as_secs_f64() * 1000.0
}
