//! The system clock's time at the start, carried on by the monotonic clock: it never jumps in a life, and
//! what is written down with it can be read in the next.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use plankhill_decisions::interface::Ms;

#[derive(Clone)]
pub struct Clock {
    started: Instant,
    unix: Rc<Cell<Ms>>,
}

impl Clock {
    pub fn start() -> Self {
        Clock {
            started: Instant::now(),
            unix: Rc::new(Cell::new(system())),
        }
    }

    /// Goes by the clock of a process that this one takes over from, which is so far ahead of the system's.
    pub fn follow(&self, ahead: Ms) {
        self.unix.set(self.unix.get() + ahead - self.ahead());
    }

    /// Of the system's clock, which may have been set since the start.
    pub fn ahead(&self) -> Ms {
        self.now() - system()
    }

    pub fn now(&self) -> Ms {
        self.at(Instant::now())
    }

    /// What it says at that moment of this life.
    pub fn at(&self, moment: Instant) -> Ms {
        self.unix.get() + (moment - self.started).as_secs_f64() * 1000.0
    }

    pub fn instant(&self, at: Ms) -> Instant {
        self.started + millis(at - self.unix.get())
    }
}

fn system() -> Ms {
    let unix = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    unix.as_secs_f64() * 1000.0
}

/// A span for the timers: none ends before it begins, and none is longer than a year.
pub fn millis(span: Ms) -> Duration {
    Duration::from_secs_f64((span / 1000.0).clamp(0.0, 365.0 * 86_400.0))
}
