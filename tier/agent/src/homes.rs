//! Follows the home of this machine's zone, so that the controllers need not send every update to each edge.
//!
//! Correctness does not rest on it: a controller announces each revision at once, and if the home has not
//! brought it within [`plankhill_protocol::subscription::HOME_LAG`] the controller is asked itself.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use plankhill_membership::homes::home_to_follow;
use plankhill_protocol::feed::Subscriber;
use plankhill_protocol::subscription::{Subscription, SubscriptionOptions};
use plankhill_protocol::tables::{Edge, Tables};
use plankhill_protocol::transport::{Channel, Hello};
use tokio::sync::watch;
use tokio::time::{timeout, Instant};

use crate::feeder::PEERS;

/// A home that says nothing for three of its heartbeats is not worth a connection.
const SILENCE: Duration = PEERS.heartbeat.saturating_mul(3);
/// A home that cannot be reached within this time has failed.
const CONNECT_LIMIT: Duration = Duration::from_secs(2);
/// Pause after a home failed; it doubles with each failure in a row.
const FIRST_PAUSE: Duration = Duration::from_secs(5);
/// Longest pause.
const LONGEST_PAUSE: Duration = Duration::from_secs(60);

/// Why a home is followed no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ended {
    /// The zone has another home now.
    Moved,
    /// It lagged, or its connection broke.
    Failed,
    /// This agent ends.
    Over,
}

/// Follows homes until the subscription to the controllers ends.
pub async fn follow_homes(me: Edge, controllers: Rc<Subscription>) {
    let mut tables = controllers.tables();
    let mut pause = FIRST_PAUSE;
    loop {
        let home = home_to_follow(&me, &tables.borrow_and_update().edges).map(|home| home.address);
        let Some(home) = home else {
            if tables.changed().await.is_err() {
                return;
            }
            continue;
        };
        match follow(&me, home, &controllers).await {
            Ended::Over => return,
            Ended::Moved => pause = FIRST_PAUSE,
            Ended::Failed => {
                tracing::info!(%home, "home failed");
                let moved =
                    tables.wait_for(|tables| address_of_home(&me, &tables.edges) != Some(home));
                // The result tells nothing new: the loop looks at the tables anyway.
                let _ = timeout(pause, moved).await;
                pause = LONGEST_PAUSE.min(pause * 2);
            }
        }
    }
}

fn address_of_home(me: &Edge, edges: &[Edge]) -> Option<SocketAddr> {
    home_to_follow(me, edges).map(|home| home.address)
}

/// Follows one home.
async fn follow(me: &Edge, address: SocketAddr, controllers: &Subscription) -> Ended {
    let (mut own, mut link) = (controllers.tables(), controllers.status());
    let home = subscribe(me, address, &own);
    let (mut offered, mut standing) = (home.tables(), home.status());
    let connected_by = Instant::now() + CONNECT_LIMIT;
    let mut connected = false;
    let mut by_home = false;
    loop {
        if address_of_home(me, &own.borrow_and_update().edges) != Some(address) {
            controllers.follow_feeder();
            return Ended::Moved;
        }
        let state = *standing.borrow_and_update();
        if connected && state.address.is_none() {
            controllers.follow_feeder();
            return Ended::Failed;
        }
        connected |= state.address.is_some();
        let fell_back = !link.borrow_and_update().follows_home;
        if by_home && fell_back {
            return Ended::Failed;
        }
        by_home = !fell_back;
        let newest = offered.borrow_and_update().clone();
        let held = own.borrow().revision;
        if by_home && newest.revision > held {
            controllers.offer(newest);
        } else if !by_home && state.current && newest.revision >= held {
            controllers.follow_home();
        }
        let changed = tokio::select! {
            changed = own.changed() => changed,
            changed = link.changed() => changed,
            changed = offered.changed() => changed,
            changed = standing.changed() => changed,
            () = tokio::time::sleep_until(connected_by), if !connected => {
                return Ended::Failed;
            }
        };
        if changed.is_err() {
            return Ended::Over;
        }
    }
}

/// A subscription at the home, which begins with what is held.
fn subscribe(me: &Edge, address: SocketAddr, own: &watch::Receiver<Arc<Tables>>) -> Subscription {
    let (_, candidates) = watch::channel(vec![address]);
    let options = SubscriptionOptions {
        hello: Hello::new(Channel::Peer, me.node.clone()),
        subscriber: Subscriber::Peer,
        candidates,
        feeder_timeout: SILENCE,
    };
    Subscription::start_from(options, own.borrow().clone())
}
