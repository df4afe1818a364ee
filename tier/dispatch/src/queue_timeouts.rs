//! Until when each queued request waits for a target. Owned by the dispatcher's state.

use std::collections::{BTreeSet, HashMap};

use plankhill_decisions::interface::Ms;

use crate::request::RequestKey;

/// Queued requests, sorted by the end of their wait.
///
/// Both maps hold the same requests.
#[derive(Debug, Default)]
pub(crate) struct QueueTimeouts {
    by_time_us: BTreeSet<(u64, RequestKey)>,
    by_request_us: HashMap<RequestKey, u64>,
}

impl QueueTimeouts {
    /// Lets the request wait until `until`, whatever was set before.
    pub(crate) fn set(&mut self, request: RequestKey, until: Ms) {
        self.remove(request);
        let until_us = microseconds(until);
        self.by_time_us.insert((until_us, request));
        self.by_request_us.insert(request, until_us);
    }

    /// The request is not queued any more.
    pub(crate) fn remove(&mut self, request: RequestKey) {
        if let Some(until_us) = self.by_request_us.remove(&request) {
            self.by_time_us.remove(&(until_us, request));
        }
    }

    /// Takes out one request whose wait is over, the earliest first.
    pub(crate) fn pop_expired(&mut self, now: Ms) -> Option<RequestKey> {
        let &(until_us, request) = self.by_time_us.first()?;
        if until_us > microseconds(now) {
            return None;
        }
        self.remove(request);
        Some(request)
    }

    /// When the next wait is over.
    pub(crate) fn next_expiry(&self) -> Option<Ms> {
        self.by_time_us
            .first()
            .map(|(until_us, _)| *until_us as f64 / 1000.0)
    }
}

/// Times are sorted as whole microseconds; rounded up, so that a wake-up at that time finds the
/// wait expired.
fn microseconds(time: Ms) -> u64 {
    (time.max(0.0) * 1000.0).ceil() as u64
}
