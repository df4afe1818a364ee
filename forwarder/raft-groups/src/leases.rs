//! The expiry of this instance's lease on each group. While the instance holds the lease, no other instance can lead
//! the group. The groups thread writes the leases; the event loop checks them before it acts on the data of a group.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, RwLock};
use std::time::Instant;

use crate::GroupId;

/// The leases of an instance, on the monotonic clock of its process.
pub(crate) struct Leases {
    started_at: Instant,
    by_group: RwLock<HashMap<GroupId, Lease>>,
}

/// One group's lease.
#[derive(Clone, Default)]
pub(crate) struct Lease {
    /// The expiry in microseconds since the start of [`Leases`].
    until_us: Arc<AtomicU64>,
}

impl Lease {
    /// Sets the expiry, in milliseconds since the start of [`Leases`]; zero or less: not held.
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

    /// Returns the group's lease, creating it if there is none.
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
