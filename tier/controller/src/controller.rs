//! The state that the tasks of one controller share.
//!
//! A process has one [`Controller`]. All tasks run on one thread, so its mutable parts are in
//! `RefCell`s; no task holds a borrow across an `await`.

use std::cell::{Ref, RefCell, RefMut};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use plankhill_control::Operation;
use plankhill_protocol::ids::{NodeId, Revision};
use tokio::sync::watch;
use tokio::task::spawn_local;

use crate::change_log::ChangeLog;
use crate::control_log::{CommittedControlState, ControlLog};
use crate::liveness::Liveness;
use crate::subscribers::Subscribers;

/// Timeout for the outcome of an operation that no caller awaits.
pub(crate) const PROPOSAL_TIMEOUT: Duration = Duration::from_millis(2_000);

/// The shared state of one controller.
pub struct Controller<L: ControlLog> {
    node: NodeId,
    tolerated_faults: u32,
    log: L,
    liveness: RefCell<Liveness>,
    change_log: RefCell<ChangeLog>,
    /// The newest revision in `change_log`; a change wakes the subscriptions.
    newest_revision: watch::Sender<Revision>,
    subscribers: Subscribers,
}

impl<L: ControlLog> Controller<L> {
    /// Creates a controller on `node` that uses `log`, for a tier that tolerates the simultaneous
    /// loss of `tolerated_faults` stores (f).
    pub fn new(node: NodeId, tolerated_faults: u32, log: L) -> Rc<Self> {
        let state = log.state().borrow().clone();
        let (newest_revision, _) = watch::channel(state.revision);
        Rc::new(Controller {
            node,
            tolerated_faults,
            log,
            liveness: RefCell::default(),
            change_log: RefCell::new(ChangeLog::new(state)),
            newest_revision,
            subscribers: Subscribers::default(),
        })
    }

    /// Returns the machine that this controller runs on.
    pub fn node(&self) -> &NodeId {
        &self.node
    }

    /// Returns the number of simultaneous store losses that the tier tolerates (f).
    pub fn tolerated_faults(&self) -> u32 {
        self.tolerated_faults
    }

    /// Returns the replicated log, which is the chain outside tests.
    pub fn log(&self) -> &L {
        &self.log
    }

    /// Borrows the time of the last message from each sender. The borrow must not be held across an
    /// `await`.
    pub fn liveness(&self) -> Ref<'_, Liveness> {
        self.liveness.borrow()
    }

    /// Mutably borrows the time of the last message from each sender. The borrow must not be held
    /// across an `await`.
    pub fn liveness_mut(&self) -> RefMut<'_, Liveness> {
        self.liveness.borrow_mut()
    }

    /// Borrows the recent changes to the tables. The borrow must not be held across an `await`.
    pub fn change_log(&self) -> Ref<'_, ChangeLog> {
        self.change_log.borrow()
    }

    /// Returns the open subscriptions.
    pub fn subscribers(&self) -> &Subscribers {
        &self.subscribers
    }

    /// Returns a watch on the newest revision available to subscribers.
    pub fn watch_revision(&self) -> watch::Receiver<Revision> {
        self.newest_revision.subscribe()
    }

    /// Returns the addresses at which the controllers listen for subscribers.
    pub fn controller_addresses(&self) -> Vec<SocketAddr> {
        self.log
            .chain_status()
            .voters
            .into_iter()
            .map(|voter| voter.address)
            .collect()
    }

    /// Proposes an operation in a background task; no caller awaits the outcome.
    ///
    /// # Panics
    /// Panics outside of a `LocalSet`.
    pub fn propose_detached(&self, operation: Operation) {
        let log = self.log.clone();
        spawn_local(async move {
            if let Err(error) = log.propose(operation, PROPOSAL_TIMEOUT).await {
                tracing::debug!(%error, "operation not committed");
            }
        });
    }

    /// Adds a committed state to the change log and wakes the subscriptions if the state is newer.
    pub fn publish(&self, state: Arc<CommittedControlState>) {
        let revision = state.revision;
        self.change_log.borrow_mut().advance(state);
        self.newest_revision.send_if_modified(|newest| {
            let is_newer = revision > *newest;
            *newest = revision.max(*newest);
            is_newer
        });
    }
}
