//! Tracks how long each member of a changing set has been present. The current time is passed in by
//! the callers.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The members of a set, each with the time at which it was first seen.
#[derive(Debug)]
pub(super) struct FirstSeen<K> {
    members: BTreeMap<K, Instant>,
}

impl<K> Default for FirstSeen<K> {
    fn default() -> Self {
        FirstSeen {
            members: BTreeMap::new(),
        }
    }
}

impl<K: Ord> FirstSeen<K> {
    /// Replaces the set. Members that remain keep their time; `members` may contain duplicates.
    pub(super) fn update(&mut self, members: impl Iterator<Item = K>, now: Instant) {
        let former = std::mem::take(&mut self.members);
        for member in members {
            let first_seen = former.get(&member).copied().unwrap_or(now);
            self.members.insert(member, first_seen);
        }
    }

    /// Removes all members.
    pub(super) fn clear(&mut self) {
        self.members.clear();
    }

    /// Returns whether `member` has been in the set for at least `duration`.
    pub(super) fn is_present_for(&self, member: &K, duration: Duration, now: Instant) -> bool {
        let first_seen = self.members.get(member);
        first_seen.is_some_and(|first_seen| now.saturating_duration_since(*first_seen) >= duration)
    }
}
