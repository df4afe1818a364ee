//! The store's subscription to the controllers: views of the stores come from them, and finished
//! transfers are reported to them.

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

/// A finished transfer is reported again while the view has not changed: messages are lost with
/// connections.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Installs the controllers' views in the node and reports its transfers, until the node's task ends.
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

/// Reports when a transfer finishes, when the link to the controllers changes, and at an interval.
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
