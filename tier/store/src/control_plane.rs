//! The store's subscription to the controllers, which send views of the stores and receive reports of
//! finished transfers ([`FromSubscriber::StoreSynced`]). [`crate::node`] installs the views and does the
//! transfers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use plankhill_protocol::feed::{FromSubscriber, Subscriber};
use plankhill_protocol::subscription::{Subscription, SubscriptionOptions, CONTROLLER_TIMEOUT};
use plankhill_protocol::tables::Tables;
use plankhill_protocol::transport::{Channel, Hello};
use tokio::sync::watch;

use crate::clock::Clock;
use crate::node::Node;
use crate::peers::Peers;
use crate::storage::Storage;

/// Interval at which a finished transfer is reported again until the view changes: a report is lost if its
/// connection fails.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Installs the controllers' views in the node and reports its transfers until the task ends.
pub async fn follow_control_plane<P: Peers, S: Storage, C: Clock>(
    node: Rc<Node<P, S, C>>,
    controllers: Vec<SocketAddr>,
) {
    let (_candidates, candidates) = watch::channel(controllers);
    let subscription = Subscription::start(SubscriptionOptions {
        hello: Hello::new(Channel::Feed, node.identity().node.clone()),
        subscriber: Subscriber::Store(node.identity().clone()),
        candidates,
        feeder_timeout: CONTROLLER_TIMEOUT,
    });
    tokio::join!(
        install_views(&node, subscription.tables()),
        report_transfers(&node, &subscription)
    );
}

async fn install_views<P: Peers, S: Storage, C: Clock>(
    node: &Rc<Node<P, S, C>>,
    mut tables: watch::Receiver<Arc<Tables>>,
) {
    while tables.changed().await.is_ok() {
        let tables = tables.borrow_and_update().clone();
        node.install_view(&tables.stores);
    }
}

/// Reports a finished transfer when it finishes, when the status of the subscription changes, and at an
/// interval.
async fn report_transfers<P: Peers, S: Storage, C: Clock>(
    node: &Rc<Node<P, S, C>>,
    subscription: &Subscription,
) {
    let mut transferred = node.transferred_epoch();
    let mut status = subscription.status();
    loop {
        let transferred_epoch = *transferred.borrow_and_update();
        if let Some(epoch) = transferred_epoch {
            let view = node.view();
            if view.epoch == epoch && view.next.is_some() {
                subscription.send(FromSubscriber::StoreSynced(epoch));
            }
        }
        status.borrow_and_update();
        tokio::select! {
            changed = transferred.changed() => if changed.is_err() { return },
            changed = status.changed() => if changed.is_err() { return },
            () = tokio::time::sleep(REPORT_INTERVAL), if transferred_epoch.is_some() => {}
        }
    }
}
