//! Until when this instance holds the lease of each group. The groups' thread writes them; the event loop asks
//! before it acts on what a group owns.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, RwLock};
use std::time::Instant;

use crate::GroupId;

/// The leases of an instance, on its process's monotonic clock.
pub(crate) struct Leases {
    started_at: Instant,
    by_group: RwLock<HashMap<GroupId, Lease>>,
}

/// One group's lease.
#[derive(Clone, Default)]
pub(crate) struct Lease {
    /// Microseconds since the leases' start.
    until_us: Arc<AtomicU64>,
}

impl Lease {
    /// `until` in milliseconds since the leases' start; zero or less: not held.
    pub(crate) fn set_until(&self, until: f64) {
        let until_us = (until.max(0.0) * 1e3) as u64;
        self.until_us.store(until_us, Ordering::Release);
    }
}

impl Leases {
    pub(crate) fn new(started_at: Instant) -> Self {
        Leases {
            started_at,
            by_group: RwLock::default(),
        }
    }

    /// Milliseconds since the start.
    pub(crate) fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64() * 1e3
    }

    /// The group's lease, made where there is none.
    pub(crate) fn lease_of(&self, group: GroupId) -> Lease {
        let mut by_group = self
            .by_group
            .write()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        by_group.entry(group).or_default().clone()
    }

    pub(crate) fn remove(&self, group: GroupId) {
        let mut by_group = self
            .by_group
            .write()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        by_group.remove(&group);
    }

    pub(crate) fn is_held(&self, group: GroupId) -> bool {
        let by_group = self
            .by_group
            .read()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        let until_us = by_group
            .get(&group)
            .map_or(0, |lease| lease.until_us.load(Ordering::Acquire));
        (self.started_at.elapsed().as_micros() as u64) < until_us
    }
}
