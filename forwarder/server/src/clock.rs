//! The clock of the decisions: the system clock's time at the start, carried on by the monotonic clock. It never jumps
//! within a process, and times that are written down can be read by the next process. Shared by all tasks.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use plankhill_decisions::interface::Ms;

/// Longest timer: a year.
const MAX_TIMER_SECONDS: f64 = 365.0 * 86_400.0;

/// Milliseconds since the Unix epoch; clones are the same clock.
#[derive(Clone)]
pub struct Clock {
    started: Instant,
    /// What the clock said at `started`.
    unix_at_start: Rc<Cell<Ms>>,
}

impl Clock {
    /// A clock that agrees with the system's now.
    pub fn start() -> Self {
        Clock {
            started: Instant::now(),
            unix_at_start: Rc::new(Cell::new(system_time())),
        }
    }

    /// Goes by the clock of a process that this one takes over from, which is `offset` ahead of the system's.
    pub fn follow(&self, offset: Ms) {
        let change = offset - self.ahead_of_system();
        self.unix_at_start.set(self.unix_at_start.get() + change);
    }

    /// How far this clock is ahead of the system's, which may have been set since the start.
    pub fn ahead_of_system(&self) -> Ms {
        self.now() - system_time()
    }

    pub fn now(&self) -> Ms {
        self.at(Instant::now())
    }

    /// What the clock says at a moment of this process.
    pub fn at(&self, moment: Instant) -> Ms {
        self.unix_at_start.get() + (moment - self.started).as_secs_f64() * 1000.0
    }

    /// The moment of this process at which the clock says `at`; no earlier than the start.
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

/// Milliseconds as a duration for timers: none is negative, and none is longer than a year.
pub fn to_duration(span: Ms) -> Duration {
    Duration::from_secs_f64((span / 1000.0).clamp(0.0, MAX_TIMER_SECONDS))
}

/// A duration in milliseconds.
pub fn to_ms(duration: Duration) -> Ms {
    duration.as_secs_f64() * 1000.0
}
