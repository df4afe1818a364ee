//! Takes this node out of service, and back, as the control plane orders; and to its end, when the process is told to end.

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
use crate::life::Connections;
use crate::process::Proxy;

/// While the node is out of service, it looks at itself this often. In service it is woken by new tables only.
const LOOK: Duration = Duration::from_millis(250);
/// While the process ends it looks at itself this often.
const LOOK_AT_THE_END: Duration = Duration::from_millis(25);
/// While there is no configuration, nothing rests or runs for longer than this.
const LONGEST: Duration = Duration::from_secs(60);

/// Says something to the agent of this machine; false if it cannot be said now.
pub type Say = Box<dyn Fn(FromSubscriber) -> bool>;

/// Follows the orders for this node, until the process is to end. Without a sender of tables the newest order stays.
pub async fn follow(
    proxy: Rc<Proxy>,
    node: NodeId,
    mut tables: watch::Receiver<Arc<Tables>>,
    say: Say,
) {
    let mut drain = NodeDrain::default();
    let mut shutdown = proxy.life.shutdown();
    let mut has_sender = true;
    loop {
        let seen = seen(&proxy, &node, &tables.borrow_and_update().clone());
        for action in drain.step(duration(proxy.clock.now()), &seen) {
            carry_out(&proxy, action, &say);
            if action == DrainAction::ExitProcess {
                return;
            }
        }
        let looks = drain.state() != NodeState::InService;
        let pause = if seen.shutdown.is_some() {
            LOOK_AT_THE_END
        } else {
            LOOK
        };
        tokio::select! {
            changed = tables.changed(), if has_sender => has_sender = changed.is_ok(),
            // The life holds the sender.
            _ = shutdown.changed() => {}
            () = proxy.life.became_quiet(), if looks => {}
            () = tokio::time::sleep(pause), if looks => {}
        }
    }
}

fn seen(proxy: &Proxy, node: &NodeId, tables: &Tables) -> NodeObservation {
    let order = tables.drains.iter().find(|drain| drain.node == *node);
    let snapshot = proxy.snapshots.newest();
    let routes = snapshot.routes.as_ref();
    NodeObservation {
        drain_order: order.map(|drain| drain.number),
        shutdown: *proxy.life.shutdown().borrow(),
        drained_recorded: order.is_some_and(|drain| drain.empty),
        requests_in_flight: proxy.life.requests(),
        open_connections: proxy.life.clients(),
        max_idle_timeout: routes.map_or(LONGEST, |routes| routes.limits().idle_timeout),
        max_response_timeout: routes.map_or(LONGEST, |routes| longest_timeout(routes)),
    }
}

fn longest_timeout(routes: &RouteTable) -> Duration {
    routes
        .routes()
        .map(|route| route.timeout)
        .max()
        .unwrap_or(LONGEST)
}

fn carry_out(proxy: &Proxy, action: DrainAction, say: &Say) {
    tracing::info!(
        ?action,
        requests = proxy.life.requests(),
        clients = proxy.life.clients(),
        "draining"
    );
    match action {
        DrainAction::RejectNewClients => proxy.life.set_leaving(true),
        DrainAction::AcceptNewClients => {
            proxy.life.set_leaving(false);
            proxy.life.set_connections(Connections::Keep);
        }
        DrainAction::CloseIdleConnections => proxy.life.set_connections(Connections::CloseIdle),
        DrainAction::ResetConnections => proxy.life.set_connections(Connections::Cut),
        DrainAction::ReportDrained(number) => {
            // Said again until the tables show it.
            let _ = say(FromSubscriber::Drained { number });
        }
        DrainAction::ExitProcess => proxy.life.set_over(),
    }
}
