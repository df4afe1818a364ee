//! Until when each held request is held.

use std::collections::{BTreeSet, HashMap};

use plankhill_decisions::interface::Ms;

use crate::interface::RequestKey;

/// Held requests by the end of their hold.
#[derive(Debug, Default)]
pub(crate) struct Holds {
    by_time: BTreeSet<(u64, RequestKey)>,
    by_request: HashMap<RequestKey, u64>,
}

impl Holds {
    /// Holds the request until then, whatever was set before.
    pub(crate) fn set(&mut self, request: RequestKey, until: Ms) {
        self.remove(request);
        let until = microseconds(until);
        self.by_time.insert((until, request));
        self.by_request.insert(request, until);
    }

    /// The request is held no more.
    pub(crate) fn remove(&mut self, request: RequestKey) {
        if let Some(until) = self.by_request.remove(&request) {
            self.by_time.remove(&(until, request));
        }
    }

    /// Takes one request whose hold is over.
    pub(crate) fn pop_over(&mut self, now: Ms) -> Option<RequestKey> {
        let &(until, request) = self.by_time.first()?;
        if until > microseconds(now) {
            return None;
        }
        self.remove(request);
        Some(request)
    }

    /// When the next hold is over.
    pub(crate) fn next(&self) -> Option<Ms> {
        self.by_time
            .first()
            .map(|(until, _)| *until as f64 / 1000.0)
    }
}

/// Times are sorted as whole microseconds; rounded up, so that a wake-up at that time finds the hold over.
fn microseconds(time: Ms) -> u64 {
    (time.max(0.0) * 1000.0).ceil() as u64
}
