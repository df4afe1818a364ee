//! Starts the tasks of one controller on the current `LocalSet`.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::spawn_local;

use crate::admin::serve_admin;
use crate::control_log::ControlLog;
use crate::controller::Controller;
use crate::internal_server::serve_internal;
use crate::liveness_reports::report_to_head;
use crate::singleton::run_singleton_tasks;

/// The listening sockets of a controller.
pub struct Listeners {
    /// For operators and targets (HTTP).
    pub admin: TcpListener,
    /// For other processes of the tier.
    pub internal: TcpListener,
}

/// Starts all tasks of a controller. The tasks belong to the `LocalSet` and end with it; the admin
/// interface stops accepting connections once `shutting_down` is true. `heartbeat_interval` is the
/// interval at which targets send heartbeats.
///
/// # Panics
/// Panics outside of a `LocalSet`.
pub fn start_tasks<L: ControlLog>(
    controller: &Rc<Controller<L>>,
    listeners: Listeners,
    heartbeat_interval: Duration,
    shutting_down: watch::Receiver<bool>,
) {
    spawn_local(publish_committed_states(controller.clone()));
    spawn_local(run_singleton_tasks(controller.clone(), heartbeat_interval));
    spawn_local(report_to_head(controller.clone()));
    spawn_local(serve_internal(controller.clone(), listeners.internal));
    spawn_local(serve_admin(
        controller.clone(),
        listeners.admin,
        shutting_down,
    ));
}

/// Publishes newer committed states to the subscriptions until the chain replica stops.
pub async fn publish_committed_states<L: ControlLog>(controller: Rc<Controller<L>>) {
    let mut states = controller.log().state();
    loop {
        let state = states.borrow_and_update().clone();
        controller.publish(state);
        if states.changed().await.is_err() {
            return;
        }
    }
}
