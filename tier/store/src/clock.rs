//! The store's time of day. Expiry times on disk are compared with it, so it must not restart at zero.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A time of day that is monotonic while the process runs.
pub trait Clock: 'static {
    /// Milliseconds since the Unix epoch.
    fn now_ms(&self) -> u64;
}

/// The machine's time of day at the start of the process, advanced by its monotonic clock.
pub struct SystemClock {
    start_ms: u64,
    started: Instant,
}

impl SystemClock {
    /// Starts a clock at the machine's current time of day.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        SystemClock {
            start_ms: since_epoch.as_millis() as u64,
            started: Instant::now(),
        }
    }
}

impl Clock for SystemClock {
    fn now_ms(&self) -> u64 {
        self.start_ms + self.started.elapsed().as_millis() as u64
    }
}
