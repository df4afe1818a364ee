//! The open subscriptions: bounded in number, and shown in the status.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use plankhill_protocol::ids::{NodeId, Revision};

/// Most subscriptions open at once; further connections are closed.
const MAX_SUBSCRIBERS: usize = 512;

/// One subscription as the status shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubscriberStatus {
    /// The machine.
    pub node: NodeId,
    /// The newest revision that the subscriber has reported as applied.
    pub applied: Revision,
}

/// The open subscriptions of one controller, in the order in which they came.
#[derive(Debug, Default)]
pub struct Subscribers {
    next_key: Cell<u64>,
    open: Rc<RefCell<BTreeMap<u64, SubscriberStatus>>>,
}

impl Subscribers {
    /// Adds a subscription, which lasts until its guard is dropped; `None` if too many are open.
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

    /// All open subscriptions.
    pub fn statuses(&self) -> Vec<SubscriberStatus> {
        self.open.borrow().values().cloned().collect()
    }
}

/// An open subscription; dropping the guard removes it.
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
