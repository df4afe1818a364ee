//! The log of rejected requests, shared by all connections and limited in rate: a flood of invalid
//! requests must not flood the log.

use std::cell::Cell;
use std::time::{Duration, Instant};

use slog::{info, Logger};

use super::request::RequestError;

/// Minimum time between two logged rejections; each log line has the number of rejections
/// suppressed before it.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Logs at most one rejected request in [`LOG_INTERVAL`].
#[derive(Default)]
pub(super) struct RejectionLog {
    last_logged: Cell<Option<Instant>>,
    suppressed: Cell<usize>,
}

impl RejectionLog {
    pub(super) fn record(&self, log: &Logger, error: RequestError) {
        if self
            .last_logged
            .get()
            .is_some_and(|last| last.elapsed() < LOG_INTERVAL)
        {
            self.suppressed.set(self.suppressed.get() + 1);
            return;
        }
        self.last_logged.set(Some(Instant::now()));
        info!(log, "request rejected"; "status" => error.status, "reason" => error.reason,
            "suppressed" => self.suppressed.take());
    }
}
