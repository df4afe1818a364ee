//! Follows the agent of this machine.

use std::rc::Rc;

use plankhill_protocol::feed::Subscriber;
use plankhill_protocol::ids::NodeId;
use plankhill_protocol::ports::PortRange;
use plankhill_protocol::subscription::{Subscription, SubscriptionOptions, AGENT_TIMEOUT};
use plankhill_protocol::transport::{Channel, Hello};
use plankhill_settings::Settings;
use tokio::sync::watch;

use crate::process::Proxy;

/// Subscribes at the agent that the settings' port range names.
pub fn subscribe(settings: &Settings) -> Subscription {
    let agent = PortRange {
        first: settings.port_range.first,
    }
    .agent_loopback(settings.ip);
    let (_, candidates) = watch::channel(vec![agent]);
    Subscription::start(SubscriptionOptions {
        hello: Hello::new(Channel::Feed, NodeId::from(settings.node_id.as_str())),
        subscriber: Subscriber::Proxy,
        candidates,
        feeder_timeout: AGENT_TIMEOUT,
    })
}

/// Puts each change of the tables in force. Ends with the subscription.
pub async fn follow(proxy: Rc<Proxy>, subscription: Rc<Subscription>) {
    let (mut tables, mut standing) = (subscription.tables(), subscription.status());
    loop {
        tokio::select! {
            changed = tables.changed() => {
                if changed.is_err() {
                    return;
                }
                let newest = tables.borrow_and_update().clone();
                put_in_force(&proxy, newest);
            }
            changed = standing.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
        if standing.borrow_and_update().current && !proxy.life.is_current() {
            tracing::info!(
                revision = proxy.snapshots.newest().tables.revision.0,
                "tables are current"
            );
            proxy.life.set_current();
        }
    }
}

fn put_in_force(proxy: &Proxy, tables: std::sync::Arc<plankhill_protocol::tables::Tables>) {
    let stores = proxy.snapshots.newest().tables.stores.clone();
    if !proxy.snapshots.replace(tables) {
        return;
    }
    let snapshot = proxy.snapshots.newest();
    if snapshot.tables.stores != stores {
        proxy.turns.view_changed(&snapshot.tables.stores);
    }
    proxy.admission.tables_changed(&snapshot);
    let known = |target: &_| {
        snapshot
            .tables
            .targets
            .iter()
            .any(|listed| listed.id == *target)
    };
    proxy.targets.pool.sweep(tokio::time::Instant::now(), known);
}
