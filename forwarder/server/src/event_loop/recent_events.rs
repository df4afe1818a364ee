//! Ids of recently completed events. Owned by the scheduler's host.

use std::collections::{HashSet, VecDeque};

use plankhill_decisions::interface::{EventId, Ms};

/// How long an id is remembered. A second submission of an event comes at about the time of the
/// first, and the timeouts of events in the deployed configurations are shorter.
const RECENT_EVENT_TTL: Ms = 30_000.0;
/// Maximum number of ids, about a megabyte; beyond it the oldest ids are removed first.
const MAX_RECENT_EVENTS: usize = 8192;

/// Ids of completed events; a submission with one of these ids is not a new event.
#[derive(Default)]
pub(super) struct RecentEvents {
    ids: HashSet<EventId>,
    by_completion: VecDeque<(Ms, EventId)>,
}

impl RecentEvents {
    /// Adds an event that completed at `now`. An id that is already present keeps its time.
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

    /// The ids with their completion times, in the order of completion.
    pub(super) fn iter(&self) -> impl Iterator<Item = &(Ms, EventId)> {
        self.by_completion.iter()
    }
}
