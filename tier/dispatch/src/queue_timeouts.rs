//! Queue timeouts: the time until which each queued request waits for a target. Owned by the
//! dispatcher's state.

use std::collections::{BTreeSet, HashMap};

use plankhill_decisions::interface::Ms;

use crate::request::RequestKey;

/// Queued requests, sorted by the end of their queue timeout.
///
/// Both collections contain the same requests.
#[derive(Debug, Default)]
pub(crate) struct QueueTimeouts {
    by_time_us: BTreeSet<(u64, RequestKey)>,
    by_request_us: HashMap<RequestKey, u64>,
}

impl QueueTimeouts {
    /// Sets the end of the request's queue timeout, replacing an earlier value.
    pub(crate) fn set(&mut self, request: RequestKey, until: Ms) {
        self.remove(request);
        let until_us = microseconds(until);
        self.by_time_us.insert((until_us, request));
        self.by_request_us.insert(request, until_us);
    }

    /// Removes the timeout of a request that is no longer queued.
    pub(crate) fn remove(&mut self, request: RequestKey) {
        if let Some(until_us) = self.by_request_us.remove(&request) {
            self.by_time_us.remove(&(until_us, request));
        }
    }

    /// Removes and returns one request whose timeout has expired, the earliest first.
    pub(crate) fn pop_expired(&mut self, now: Ms) -> Option<RequestKey> {
        let &(until_us, request) = self.by_time_us.first()?;
        if until_us > microseconds(now) {
            return None;
        }
        self.remove(request);
        Some(request)
    }

    /// The time at which the next timeout expires.
    pub(crate) fn next_expiry(&self) -> Option<Ms> {
        self.by_time_us
            .first()
            .map(|(until_us, _)| *until_us as f64 / 1000.0)
    }
}

/// Converts a time to whole microseconds, by which times are sorted. Rounds up, so that a wake-up
/// at that time finds the timeout expired.
fn microseconds(time: Ms) -> u64 {
    (time.max(0.0) * 1000.0).ceil() as u64
}
