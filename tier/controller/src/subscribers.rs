//! Tracks the open subscriptions: limits their number and lists them for the status.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use plankhill_protocol::ids::{NodeId, Revision};

/// Maximum number of open subscriptions; excess connections are closed.
const MAX_SUBSCRIBERS: usize = 512;

/// The status of one subscription.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubscriberStatus {
    /// The subscribed machine.
    pub node: NodeId,
    /// The newest revision that the subscriber has reported as applied.
    pub applied: Revision,
}

/// The open subscriptions of one controller, in the order in which they were opened.
#[derive(Debug, Default)]
pub struct Subscribers {
    next_key: Cell<u64>,
    open: Rc<RefCell<BTreeMap<u64, SubscriberStatus>>>,
}

impl Subscribers {
    /// Adds a subscription, which is removed when its guard is dropped; `None` if the limit is
    /// reached.
    pub fn add(&self, node: NodeId, applied: Revision) -> Option<SubscriberGuard> {
        let mut open = self.open.borrow_mut();
        if open.len() >= MAX_SUBSCRIBERS {
            return None;
        }
        let key = self.next_key.get() + 1;
        self.next_key.set(key);
        open.insert(key, SubscriberStatus { node, applied });
        Some(SubscriberGuard {
            key,
            open: self.open.clone(),
        })
    }

    /// Returns the status of every open subscription.
    pub fn statuses(&self) -> Vec<SubscriberStatus> {
        self.open.borrow().values().cloned().collect()
    }
}

/// The guard of an open subscription; dropping it removes the subscription.
#[derive(Debug)]
pub struct SubscriberGuard {
    key: u64,
    open: Rc<RefCell<BTreeMap<u64, SubscriberStatus>>>,
}

impl SubscriberGuard {
    /// Records the newest revision that the subscriber has applied.
    pub fn record_applied(&self, revision: Revision) {
        if let Some(status) = self.open.borrow_mut().get_mut(&self.key) {
            status.applied = revision;
        }
    }
}

impl Drop for SubscriberGuard {
    fn drop(&mut self) {
        self.open.borrow_mut().remove(&self.key);
    }
}
