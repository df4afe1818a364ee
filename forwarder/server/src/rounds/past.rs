//! Events that are over and not to be taken for new ones.

use std::collections::{HashSet, VecDeque};

use plankhill_decisions::interface::*;

/// A copy comes at about the time of its event; patience on the longest of days is less.
const REMEMBERED: Ms = 30_000.0;
/// Past that many the oldest go first: some megabyte.
const MOST_PAST: usize = 8192;

/// The ids of events that are over: a copy of one, handed in by whomever, must not be taken for a new event.
#[derive(Default)]
pub(super) struct Past {
    ids: HashSet<EventId>,
    pub(super) by_end: VecDeque<(Ms, EventId)>,
}

impl Past {
    pub(super) fn add(&mut self, event: &EventId, now: Ms) {
        let is_old = |(at, _): &(Ms, EventId)| now - at > REMEMBERED;
        while self.by_end.front().is_some_and(is_old) || self.by_end.len() >= MOST_PAST {
            self.by_end.pop_front().map(|(_, id)| self.ids.remove(&id));
        }
        if self.ids.insert(event.clone()) {
            self.by_end.push_back((now, event.clone()));
        }
    }
    pub(super) fn holds(&self, event: &EventId) -> bool {
        self.ids.contains(event)
    }
}
