//! The state that the tasks of one controller share.
//!
//! One [`Controller`] belongs to one process. All tasks run on one thread, so that its parts are in
//! cells; no task keeps a borrow while it waits.

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

/// The longest wait for the outcome of an operation that no caller waits for.
pub(crate) const PROPOSAL_TIMEOUT: Duration = Duration::from_millis(2_000);

/// The shared state of one controller.
pub struct Controller<L: ControlLog> {
    node: NodeId,
    tolerated_faults: u32,
    log: L,
    liveness: RefCell<Liveness>,
    change_log: RefCell<ChangeLog>,
    /// The newest revision in `change_log`; wakes the subscriptions.
    newest_revision: watch::Sender<Revision>,
    subscribers: Subscribers,
}

impl<L: ControlLog> Controller<L> {
    /// A controller on `node` over `log`, for a tier that tolerates the loss of `tolerated_faults`
    /// stores at once (f).
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

    /// The machine that this controller runs on.
    pub fn node(&self) -> &NodeId {
        &self.node
    }

    /// Losses of stores that the tier tolerates at once (f).
    pub fn tolerated_faults(&self) -> u32 {
        self.tolerated_faults
    }

    /// The chain.
    pub fn log(&self) -> &L {
        &self.log
    }

    /// When each sender was last heard from. The borrow must not be kept across an `await`.
    pub fn liveness(&self) -> Ref<'_, Liveness> {
        self.liveness.borrow()
    }

    /// The same, to record what was heard. The borrow must not be kept across an `await`.
    pub fn liveness_mut(&self) -> RefMut<'_, Liveness> {
        self.liveness.borrow_mut()
    }

    /// The latest changes of the tables. The borrow must not be kept across an `await`.
    pub fn change_log(&self) -> Ref<'_, ChangeLog> {
        self.change_log.borrow()
    }

    /// The open subscriptions.
    pub fn subscribers(&self) -> &Subscribers {
        &self.subscribers
    }

    /// The newest revision that subscribers are sent, to wait for changes.
    pub fn watch_revision(&self) -> watch::Receiver<Revision> {
        self.newest_revision.subscribe()
    }

    /// The addresses at which all controllers listen for subscribers.
    pub fn controller_addresses(&self) -> Vec<SocketAddr> {
        self.log
            .chain_status()
            .voters
            .into_iter()
            .map(|voter| voter.address)
            .collect()
    }

    /// Proposes an operation whose outcome no caller waits for.
    ///
    /// # Panics
    /// Outside of a `LocalSet`.
    pub fn propose_detached(&self, operation: Operation) {
        let log = self.log.clone();
        spawn_local(async move {
            if let Err(error) = log.propose(operation, PROPOSAL_TIMEOUT).await {
                tracing::debug!(%error, "operation not committed");
            }
        });
    }

    /// Adds a newer committed state to the change log and wakes the subscriptions.
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
