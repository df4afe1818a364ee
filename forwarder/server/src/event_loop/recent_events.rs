//! Ids of events that completed lately. Owned by the scheduler's host.

use std::collections::{HashSet, VecDeque};

use plankhill_decisions::interface::{EventId, Ms};

/// How long an id is remembered. A second submission of an event comes at about the time of the first; deadlines are
/// shorter on the longest of days.
const RECENT_EVENT_TTL: Ms = 30_000.0;
/// Past that many ids the oldest go first: about a megabyte.
const MAX_RECENT_EVENTS: usize = 8192;

/// Ids of completed events: another submission under one of them is not a new event.
#[derive(Default)]
pub(super) struct RecentEvents {
    ids: HashSet<EventId>,
    by_completion: VecDeque<(Ms, EventId)>,
}

impl RecentEvents {
    /// Remembers an event that completed at `now`; an id that is remembered already keeps its time.
    pub(super) fn add(&mut self, event: &EventId, now: Ms) {
        while self.is_oldest_due(now) {
            if let Some((_, oldest)) = self.by_completion.pop_front() {
                self.ids.remove(&oldest);
            }
        }
        if self.ids.insert(event.clone()) {
            self.by_completion.push_back((now, event.clone()));
        }
    }

    fn is_oldest_due(&self, now: Ms) -> bool {
        match self.by_completion.front() {
            Some((at, _)) => {
                now - at > RECENT_EVENT_TTL || self.by_completion.len() >= MAX_RECENT_EVENTS
            }
            None => false,
        }
    }

    pub(super) fn contains(&self, event: &EventId) -> bool {
        self.ids.contains(event)
    }

    /// In the order of completion, with the time of each.
    pub(super) fn iter(&self) -> impl Iterator<Item = &(Ms, EventId)> {
        self.by_completion.iter()
    }
}
