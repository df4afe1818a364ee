//! The process: what its parts share, and how they are started.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use plankhill_control::Operation;
use plankhill_protocol::ids::{NodeId, Revision};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::spawn_local;

use crate::admin::serve_admin;
use crate::change_log::ChangeLog;
use crate::duties::Duties;
use crate::feed::Subscribers;
use crate::internal::{report_to_head, serve_internal};
use crate::liveness::Liveness;
use crate::log::ControlLog;

/// Time for an operation that nobody waits for.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time between looks at what is due.
const DUTY_INTERVAL: Duration = Duration::from_millis(250);

/// What the parts of the process share.
pub struct Controller<L: ControlLog> {
    /// The machine.
    pub node: NodeId,
    /// Lost stores that the tier bears at once (f).
    pub faults: u32,
    /// The chain.
    pub log: L,
    /// Who was heard when.
    pub liveness: RefCell<Liveness>,
    /// What subscribers are sent.
    pub changes: RefCell<ChangeLog>,
    /// The newest revision in `changes`; wakes the subscriptions.
    pub newest: watch::Sender<Revision>,
    /// Who is subscribed.
    pub subscribers: RefCell<Subscribers>,
}

impl<L: ControlLog> Controller<L> {
    /// A controller on `node` over `log`, for a tier that bears `faults` lost stores.
    pub fn new(node: NodeId, faults: u32, log: L) -> Rc<Self> {
        let state = log.state().borrow().clone();
        let (newest, _) = watch::channel(state.revision);
        Rc::new(Controller {
            node,
            faults,
            log,
            liveness: RefCell::default(),
            changes: RefCell::new(ChangeLog::new(state)),
            newest,
            subscribers: RefCell::default(),
        })
    }

    /// Proposes an operation whose outcome nobody waits for. Must run inside a `LocalSet`.
    pub fn submit(&self, operation: Operation) {
        let log = self.log.clone();
        spawn_local(async move {
            if log.propose(operation, SUBMIT_TIMEOUT).await.is_err() {
                tracing::debug!("an operation found no chain");
            }
        });
    }

    /// Where all controllers listen for subscribers.
    pub fn controller_addresses(&self) -> Vec<SocketAddr> {
        self.log
            .place()
            .voters
            .into_iter()
            .map(|voter| voter.address)
            .collect()
    }

    /// Takes in a newer committed state and wakes the subscriptions.
    pub fn publish(&self, state: Arc<crate::log::Committed>) {
        let revision = state.revision;
        self.changes.borrow_mut().advance(state);
        self.newest.send_if_modified(|newest| {
            let modified = revision > *newest;
            *newest = revision.max(*newest);
            modified
        });
    }
}

/// Where a controller listens.
pub struct Listeners {
    /// For the operator and for targets.
    pub admin: TcpListener,
    /// For other processes of the tier.
    pub internal: TcpListener,
}

/// Starts everything that a controller does on the current `LocalSet`. No more calls are accepted once `ending`
/// says true. `heartbeat` is the time between two heartbeats of a target.
pub fn start_tasks<L: ControlLog>(
    controller: &Rc<Controller<L>>,
    listeners: Listeners,
    heartbeat: Duration,
    ending: watch::Receiver<bool>,
) {
    spawn_local(publish_states(controller.clone()));
    spawn_local(do_duties(controller.clone(), heartbeat));
    spawn_local(report_to_head(controller.clone()));
    spawn_local(serve_internal(controller.clone(), listeners.internal));
    spawn_local(serve_admin(controller.clone(), listeners.admin, ending));
}

/// Publishes every newer committed state, for ever.
pub async fn publish_states<L: ControlLog>(controller: Rc<Controller<L>>) {
    let mut states = controller.log.state();
    loop {
        let state = states.borrow_and_update().clone();
        controller.publish(state);
        if states.changed().await.is_err() {
            return;
        }
    }
}

/// Does the housekeeping, for ever, whenever this controller is the head.
pub async fn do_duties<L: ControlLog>(controller: Rc<Controller<L>>, heartbeat: Duration) {
    let mut duties = Duties::new(heartbeat);
    loop {
        tokio::time::sleep(DUTY_INTERVAL).await;
        let now = Instant::now();
        if let Some(since) = now.checked_sub(duties.memory()) {
            controller.liveness.borrow_mut().forget_before(since);
        }
        let place = controller.log.place();
        let state = controller.log.state().borrow().state.clone();
        let current = controller.log.is_current();
        let due = duties.due(&place, current, &state, &controller.liveness.borrow(), now);
        for duty in due {
            tracing::info!(?duty, view = place.view, "housekeeping");
            let operation = Operation::Duty {
                view: place.view,
                duty,
            };
            if controller
                .log
                .propose(operation, SUBMIT_TIMEOUT)
                .await
                .is_err()
            {
                break;
            }
        }
    }
}
