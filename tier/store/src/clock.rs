//! The store's time of day.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Time of day in milliseconds that never goes back within the life of a process.
pub trait Clock: 'static {
    /// Milliseconds since 1970.
    fn now_ms(&self) -> u64;
}

/// The machine's time of day at the start, and its steady clock from then on.
pub struct SystemClock {
    start_ms: u64,
    started: Instant,
}

impl SystemClock {
    /// Reads both clocks.
    pub fn start() -> Self {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        SystemClock {
            start_ms: since.as_millis() as u64,
            started: Instant::now(),
        }
    }
}

impl Clock for SystemClock {
    fn now_ms(&self) -> u64 {
        self.start_ms + self.started.elapsed().as_millis() as u64
    }
}
