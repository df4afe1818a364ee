//! Who is subscribed here, for the status and for the bound on their number.

use std::collections::BTreeMap;

use plankhill_protocol::ids::{NodeId, Revision};

/// Subscriptions at once; further connections are closed.
const MAX_SUBSCRIBERS: usize = 512;

/// One subscription as the status shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubscriberStatus {
    /// The machine.
    pub node: NodeId,
    /// The newest revision that it has reported as applied.
    pub applied: Revision,
}

/// The open subscriptions.
#[derive(Debug, Default)]
pub struct Subscribers {
    next: u64,
    open: BTreeMap<u64, SubscriberStatus>,
}

impl Subscribers {
    /// Notes a subscription; `None` if there are too many.
    pub fn add(&mut self, node: NodeId, applied: Revision) -> Option<u64> {
        if self.open.len() >= MAX_SUBSCRIBERS {
            return None;
        }
        self.next += 1;
        self.open
            .insert(self.next, SubscriberStatus { node, applied });
        Some(self.next)
    }

    /// A subscriber has applied updates up to here.
    pub fn applied(&mut self, key: u64, revision: Revision) {
        if let Some(status) = self.open.get_mut(&key) {
            status.applied = revision;
        }
    }

    /// A subscription ended.
    pub fn remove(&mut self, key: u64) {
        self.open.remove(&key);
    }

    /// All open subscriptions.
    pub fn iter(&self) -> impl Iterator<Item = &SubscriberStatus> {
        self.open.values()
    }
}
