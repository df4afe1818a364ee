//! How long each member of a changing set has been in it. Time is passed in.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// When each member of the set was first seen.
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
    /// Replaces the set. Members that stay keep their time; a member may be named twice.
    pub(super) fn update(&mut self, members: impl Iterator<Item = K>, now: Instant) {
        let former = std::mem::take(&mut self.members);
        for member in members {
            let first_seen = former.get(&member).copied().unwrap_or(now);
            self.members.insert(member, first_seen);
        }
    }

    /// Forgets all members.
    pub(super) fn clear(&mut self) {
        self.members.clear();
    }

    /// Whether a member has been in the set for at least this long.
    pub(super) fn is_present_for(&self, member: &K, duration: Duration, now: Instant) -> bool {
        let first_seen = self.members.get(member);
        first_seen.is_some_and(|first_seen| now.saturating_duration_since(*first_seen) >= duration)
    }
}
