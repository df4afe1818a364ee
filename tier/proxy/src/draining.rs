//! Takes this node out of service and back into it on orders of the control plane, and shuts the
//! process down gracefully after SIGTERM. Started once by [`crate::run()`]; the decisions are made
//! by `plankhill-draining`.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use plankhill_configuration::RouteTable;
use plankhill_draining::node::{DrainAction, NodeDrain, NodeObservation, NodeState};
use plankhill_protocol::feed::FromSubscriber;
use plankhill_protocol::ids::NodeId;
use plankhill_protocol::tables::Tables;
use tokio::sync::watch;

use crate::clock::duration;
use crate::lifecycle::ConnectionPolicy;
use crate::process::Proxy;

/// Poll interval of the drain while the node is not in service. In service, the drain steps only on
/// new tables and on a shutdown.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Poll interval of the drain during a shutdown of the process.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Maximum idle time of connections and maximum response time if there is no configuration.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);

/// Sends a message to the agent of this machine; returns false if it cannot be sent now.
pub type ReportSender = Box<dyn Fn(FromSubscriber) -> bool>;

/// Applies the drain orders for this node until the process is to end. After the sender of `tables`
/// is dropped, the newest order remains in effect.
pub async fn run(
    proxy: Rc<Proxy>,
    node: NodeId,
    mut tables: watch::Receiver<Arc<Tables>>,
    report: ReportSender,
) {
    let mut drain = NodeDrain::default();
    let mut shutdown = proxy.lifecycle.shutdown();
    let mut has_sender = true;
    loop {
        let observation = observe(&proxy, &node, &tables.borrow_and_update().clone());
        for action in drain.step(duration(proxy.clock.now()), &observation) {
            apply_action(&proxy, action, &report);
            if action == DrainAction::ExitProcess {
                return;
            }
        }
        let is_polling = drain.state() != NodeState::InService;
        let interval = match observation.shutdown {
            Some(_) => SHUTDOWN_POLL_INTERVAL,
            None => DRAIN_POLL_INTERVAL,
        };
        tokio::select! {
            changed = tables.changed(), if has_sender => has_sender = changed.is_ok(),
            // Never an error: the lifecycle owns the sender.
            _ = shutdown.changed() => {}
            () = proxy.lifecycle.became_idle(), if is_polling => {}
            () = tokio::time::sleep(interval), if is_polling => {}
        }
    }
}

fn observe(proxy: &Proxy, node: &NodeId, tables: &Tables) -> NodeObservation {
    let order = tables.drains.iter().find(|drain| drain.node == *node);
    let snapshot = proxy.snapshots.newest();
    let (max_idle_timeout, max_response_timeout) = match &snapshot.routes {
        Some(routes) => (routes.limits().idle_timeout, max_route_timeout(routes)),
        None => (DEFAULT_TIMEOUT, DEFAULT_TIMEOUT),
    };
    NodeObservation {
        drain_order: order.map(|drain| drain.number),
        shutdown: *proxy.lifecycle.shutdown().borrow(),
        drained_recorded: order.is_some_and(|drain| drain.empty),
        requests_in_flight: proxy.lifecycle.work_in_flight(),
        open_connections: proxy.lifecycle.open_connections(),
        max_idle_timeout,
        max_response_timeout,
    }
}

fn max_route_timeout(routes: &RouteTable) -> Duration {
    routes
        .routes()
        .map(|route| route.timeout)
        .max()
        .unwrap_or(DEFAULT_TIMEOUT)
}

fn apply_action(proxy: &Proxy, action: DrainAction, report: &ReportSender) {
    let lifecycle = &proxy.lifecycle;
    tracing::info!(
        ?action,
        work_in_flight = lifecycle.work_in_flight(),
        open_connections = lifecycle.open_connections(),
        "drain action"
    );
    match action {
        DrainAction::RejectNewClients => lifecycle.set_draining(true),
        DrainAction::AcceptNewClients => {
            lifecycle.set_draining(false);
            lifecycle.set_connection_policy(ConnectionPolicy::KeepOpen);
        }
        DrainAction::CloseIdleConnections => {
            lifecycle.set_connection_policy(ConnectionPolicy::CloseIdle)
        }
        DrainAction::ResetConnections => {
            lifecycle.set_connection_policy(ConnectionPolicy::CloseAll)
        }
        DrainAction::ReportDrained(number) => {
            // A failed send is ignored: the drain repeats the report until the tables record it.
            let _ = report(FromSubscriber::Drained { number });
        }
        DrainAction::ExitProcess => lifecycle.end_process(),
    }
}
