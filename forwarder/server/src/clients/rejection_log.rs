//! The log of rejected requests, shared by all connections: a flood of bad requests is not to flood the log.

use std::cell::Cell;
use std::time::{Duration, Instant};

use slog::{info, Logger};

use super::request::RequestError;

/// Rejected requests are logged so often at most, with the number of those between.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Logs one rejected request in [`LOG_INTERVAL`] at most.
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
