//! Receives the tables from the agent of this machine, and applies each revision. Started once by
//! [`crate::run()`].

use std::rc::Rc;
use std::sync::Arc;

use plankhill_protocol::feed::Subscriber;
use plankhill_protocol::ids::{InstanceId, NodeId};
use plankhill_protocol::subscription::{Subscription, SubscriptionOptions, AGENT_TIMEOUT};
use plankhill_protocol::tables::Tables;
use plankhill_protocol::transport::{Channel, Hello};
use plankhill_settings::Settings;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::process::Proxy;

/// Subscribes to the agent of this machine, whose port follows from the settings' port range.
pub fn subscribe(settings: &Settings) -> Subscription {
    let (_, candidates) = watch::channel(vec![settings.agent_loopback_address()]);
    Subscription::start(SubscriptionOptions {
        hello: Hello::new(Channel::Feed, NodeId::from(settings.node_id.as_str())),
        subscriber: Subscriber::Proxy,
        candidates,
        feeder_timeout: AGENT_TIMEOUT,
    })
}

/// Applies each change of the tables. Returns when the subscription ends.
pub async fn run(proxy: Rc<Proxy>, subscription: Rc<Subscription>) {
    let mut tables = subscription.tables();
    let mut status = subscription.status();
    loop {
        tokio::select! {
            changed = tables.changed() => {
                if changed.is_err() {
                    return;
                }
                let newest = tables.borrow_and_update().clone();
                apply_tables(&proxy, newest);
            }
            changed = status.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
        if status.borrow_and_update().current && !proxy.lifecycle.has_current_tables() {
            let revision = proxy.snapshots.newest().tables.revision.0;
            tracing::info!(revision, "tables current");
            proxy.lifecycle.mark_tables_current();
        }
    }
}

fn apply_tables(proxy: &Proxy, tables: Arc<Tables>) {
    let previous_stores = proxy.snapshots.newest().tables.stores.clone();
    if !proxy.snapshots.replace(tables) {
        return;
    }
    let snapshot = proxy.snapshots.newest();
    if snapshot.tables.stores != previous_stores {
        proxy.turns.set_view(&snapshot.tables.stores);
    }
    proxy.admission.on_tables_changed(&snapshot);
    let is_listed = |target: &InstanceId| {
        snapshot
            .tables
            .targets
            .iter()
            .any(|listed| listed.id == *target)
    };
    proxy.target_client.pool.sweep(Instant::now(), is_listed);
}
