//! Takes this node out of service, and back, as the control plane orders.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use plankhill_configuration::RouteTable;
use plankhill_draining::node::{Action, NodeDrain, NodeState, Seen};
use plankhill_protocol::feed::FromSubscriber;
use plankhill_protocol::ids::NodeId;
use plankhill_protocol::tables::Tables;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::life::Connections;
use crate::process::Proxy;

/// While the node is out of service, it looks at itself this often. In service it is woken by new tables only.
const LOOK: Duration = Duration::from_millis(250);
/// While there is no configuration, nothing rests or runs for longer than this.
const LONGEST: Duration = Duration::from_secs(60);

/// Says something to the agent of this machine; false if it cannot be said now.
pub type Say = Box<dyn Fn(FromSubscriber) -> bool>;

/// Follows the orders for this node. Ends with the tables' sender.
pub async fn follow(proxy: Rc<Proxy>, node: NodeId, mut tables: watch::Receiver<Arc<Tables>>, say: Say) {
    let started = Instant::now();
    let mut drain = NodeDrain::default();
    loop {
        let seen = seen(&proxy, &node, &tables.borrow_and_update().clone());
        for action in drain.step(started.elapsed(), &seen) {
            carry_out(&proxy, action, &say);
        }
        let looks = drain.state() != NodeState::InService;
        let over = tokio::select! {
            changed = tables.changed() => changed.is_err(),
            () = proxy.life.became_quiet(), if looks => false,
            () = tokio::time::sleep(LOOK), if looks => false,
        };
        if over {
            return;
        }
    }
}

fn seen(proxy: &Proxy, node: &NodeId, tables: &Tables) -> Seen {
    let order = tables.drains.iter().find(|drain| drain.node == *node);
    let snapshot = proxy.snapshots.newest();
    let routes = snapshot.routes.as_ref();
    Seen {
        order: order.map(|drain| drain.number),
        recorded: order.is_some_and(|drain| drain.empty),
        requests: proxy.life.requests(),
        connections: proxy.life.clients(),
        longest_rest: routes.map_or(LONGEST, |routes| routes.limits().idle_timeout),
        longest_reply: routes.map_or(LONGEST, |routes| longest_timeout(routes)),
    }
}

fn longest_timeout(routes: &RouteTable) -> Duration {
    routes.routes().map(|route| route.timeout).max().unwrap_or(LONGEST)
}

fn carry_out(proxy: &Proxy, action: Action, say: &Say) {
    tracing::info!(?action, requests = proxy.life.requests(), clients = proxy.life.clients(), "draining");
    match action {
        Action::TurnAway => proxy.life.set_leaving(true),
        Action::Welcome => {
            proxy.life.set_leaving(false);
            proxy.life.set_connections(Connections::Keep);
        }
        Action::CloseIdle => proxy.life.set_connections(Connections::CloseIdle),
        Action::Cut => proxy.life.set_connections(Connections::Cut),
        Action::ReportEmpty(number) => {
            // Said again until the tables show it.
            let _ = say(FromSubscriber::Emptied { number });
        }
    }
}
