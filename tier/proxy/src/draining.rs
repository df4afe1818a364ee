//! Takes this node out of service and back, as the control plane orders, and ends the process in
//! order after SIGTERM. Started once by [`crate::run()`]; the decisions are those of
//! `plankhill-draining`.

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

/// While the node is out of service, the drain looks at it this often. In service it is woken by
/// new tables only.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// The same while the process ends.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Bound on idle connections and on answers while there is no configuration.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);

/// Sends a message to the agent of this machine; false if it cannot be sent now.
pub type Report = Box<dyn Fn(FromSubscriber) -> bool>;

/// Follows the orders for this node until the process is to end. Once the sender of `tables` is
/// gone, the newest order stays in force.
pub async fn follow(
    proxy: Rc<Proxy>,
    node: NodeId,
    mut tables: watch::Receiver<Arc<Tables>>,
    report: Report,
) {
    let mut drain = NodeDrain::default();
    let mut shutdown = proxy.lifecycle.shutdown();
    let mut has_sender = true;
    loop {
        let seen = observe(&proxy, &node, &tables.borrow_and_update().clone());
        for action in drain.step(duration(proxy.clock.now()), &seen) {
            carry_out(&proxy, action, &report);
            if action == DrainAction::ExitProcess {
                return;
            }
        }
        let polls = drain.state() != NodeState::InService;
        let interval = match seen.shutdown {
            Some(_) => SHUTDOWN_POLL_INTERVAL,
            None => DRAIN_POLL_INTERVAL,
        };
        tokio::select! {
            changed = tables.changed(), if has_sender => has_sender = changed.is_ok(),
            // Never an error: the lifecycle holds the sender.
            _ = shutdown.changed() => {}
            () = proxy.lifecycle.became_idle(), if polls => {}
            () = tokio::time::sleep(interval), if polls => {}
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

fn carry_out(proxy: &Proxy, action: DrainAction, report: &Report) {
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
            // The drain reports again until the tables show it.
            let _ = report(FromSubscriber::Drained { number });
        }
        DrainAction::ExitProcess => lifecycle.end_process(),
    }
}
