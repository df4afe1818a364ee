//! Since when each of a changing set has been in it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// When each member was seen first.
#[derive(Debug)]
pub struct FirstSeen<K>(BTreeMap<K, Instant>);

impl<K> Default for FirstSeen<K> {
    fn default() -> Self {
        FirstSeen(BTreeMap::new())
    }
}

impl<K: Ord> FirstSeen<K> {
    /// The set is this now; a member may be named twice.
    pub fn update(&mut self, members: impl Iterator<Item = K>, now: Instant) {
        let before = std::mem::take(&mut self.0);
        for member in members {
            let since = before.get(&member).copied().unwrap_or(now);
            self.0.insert(member, since);
        }
    }

    /// Begins anew.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// Whether a member has been seen for at least `span`.
    pub fn for_long(&self, member: &K, span: Duration, now: Instant) -> bool {
        self.0
            .get(member)
            .is_some_and(|since| now.saturating_duration_since(*since) >= span)
    }
}
