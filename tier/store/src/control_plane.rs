//! The store's link to the control plane: where views come from and finished copies are reported.

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
use crate::disk::Disk;
use crate::node::Node;
use crate::peers::Peers;

/// A finished copy is reported again while the view has not changed: messages are lost with connections.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Follows the control plane, for ever.
pub async fn follow<P: Peers, D: Disk, C: Clock>(
    node: Rc<Node<P, D, C>>,
    controllers: Vec<SocketAddr>,
) {
    let (_candidates, candidates) = watch::channel(controllers);
    let subscription = Subscription::start(SubscriptionOptions {
        hello: Hello::new(Channel::Feed, node.me().node.clone()),
        subscriber: Subscriber::Store(node.me().clone()),
        candidates,
        feeder_timeout: CONTROLLER_TIMEOUT,
    });
    tokio::join!(
        take_views(&node, subscription.tables()),
        report_copies(&node, &subscription)
    );
}

async fn take_views<P: Peers, D: Disk, C: Clock>(
    node: &Rc<Node<P, D, C>>,
    mut tables: watch::Receiver<Arc<Tables>>,
) {
    while tables.changed().await.is_ok() {
        let tables = tables.borrow_and_update().clone();
        node.take_view(&tables.stores);
    }
}

async fn report_copies<P: Peers, D: Disk, C: Clock>(
    node: &Rc<Node<P, D, C>>,
    subscription: &Subscription,
) {
    let mut copied = node.copied_epoch();
    let mut standing = subscription.status();
    loop {
        let epoch = *copied.borrow_and_update();
        let view = node.view();
        if let Some(epoch) = epoch.filter(|epoch| view.epoch == *epoch && view.next.is_some()) {
            subscription.send(FromSubscriber::StoreSynced(epoch));
        }
        standing.borrow_and_update();
        tokio::select! {
            changed = copied.changed() => if changed.is_err() { return },
            changed = standing.changed() => if changed.is_err() { return },
            () = tokio::time::sleep(REPORT_INTERVAL), if epoch.is_some() => {}
        }
    }
}
