//! Receives updates from the home of this machine's zone, so that the controllers do not need to
//! send every update to each edge.
//!
//! Correctness does not depend on homes: a controller announces each revision immediately, and if
//! the home has not sent that revision within [`plankhill_protocol::subscription::MAX_HOME_LAG`],
//! it is requested from the controller.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use plankhill_membership::homes::home_to_follow;
use plankhill_protocol::feed::Subscriber;
use plankhill_protocol::subscription::{LinkStatus, Subscription, SubscriptionOptions};
use plankhill_protocol::tables::{Edge, Tables};
use plankhill_protocol::transport::{Channel, Hello};
use tokio::sync::watch;
use tokio::time::{timeout, Instant};

use crate::feeder::PEER_FEEDER;

/// A home that sends nothing for three of its heartbeat intervals has failed.
const HOME_TIMEOUT: Duration = PEER_FEEDER.heartbeat_interval.saturating_mul(3);
/// A home to which no connection is established within this time has failed.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Backoff after the first failure of a home; doubles with each consecutive failure.
const INITIAL_BACKOFF: Duration = Duration::from_secs(5);
/// Maximum backoff after a failure of a home.
const MAX_BACKOFF: Duration = Duration::from_secs(60);

/// The reason why this agent stopped following a home.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FollowEnd {
    /// The followed edge is no longer the home of the zone, or its address has changed.
    HomeChanged,
    /// The home lagged or was unreachable, or its connection failed.
    HomeFailed,
    /// The subscription to the controllers or to the home ended because this agent is stopping.
    AgentStopped,
}

/// Follows the home of the zone of `own_edge` until the subscription to the controllers ends.
pub async fn follow_homes(own_edge: Edge, controllers: Rc<Subscription>) {
    let mut tables = controllers.tables();
    let mut backoff = INITIAL_BACKOFF;
    loop {
        let home = address_of_home(&own_edge, &tables.borrow_and_update().edges);
        let Some(home) = home else {
            if tables.changed().await.is_err() {
                return;
            }
            continue;
        };
        match FollowedHome::new(&own_edge, home, &controllers).run().await {
            FollowEnd::AgentStopped => return,
            FollowEnd::HomeChanged => backoff = INITIAL_BACKOFF,
            FollowEnd::HomeFailed => {
                tracing::info!(%home, "zone home failed");
                let changed = tables
                    .wait_for(|tables| address_of_home(&own_edge, &tables.edges) != Some(home));
                // The next iteration reads the tables again, regardless of the result.
                let _ = timeout(backoff, changed).await;
                backoff = MAX_BACKOFF.min(backoff * 2);
            }
        }
    }
}

fn address_of_home(own_edge: &Edge, edges: &[Edge]) -> Option<SocketAddr> {
    home_to_follow(own_edge, edges).map(|home| home.address)
}

/// The home that this agent follows. Dropping the value ends the subscription to the home.
struct FollowedHome<'a> {
    own_edge: &'a Edge,
    address: SocketAddr,
    controllers: &'a Subscription,
    own_tables: watch::Receiver<Arc<Tables>>,
    controller_status: watch::Receiver<LinkStatus>,
    home_tables: watch::Receiver<Arc<Tables>>,
    home_status: watch::Receiver<LinkStatus>,
    connect_deadline: Instant,
    /// Whether a connection to the home has been established.
    connected: bool,
    /// Whether the subscription to the controllers takes its updates from the home.
    following: bool,
    _home: Subscription,
}

impl<'a> FollowedHome<'a> {
    /// Subscribes to the home at `address`.
    fn new(own_edge: &'a Edge, address: SocketAddr, controllers: &'a Subscription) -> Self {
        let own_tables = controllers.tables();
        let home = subscribe(own_edge, address, &own_tables);
        FollowedHome {
            own_edge,
            address,
            controllers,
            own_tables,
            controller_status: controllers.status(),
            home_tables: home.tables(),
            home_status: home.status(),
            connect_deadline: Instant::now() + CONNECT_TIMEOUT,
            connected: false,
            following: false,
            _home: home,
        }
    }

    async fn run(mut self) -> FollowEnd {
        loop {
            if let Err(end) = self.update() {
                return end;
            }
            if let Err(end) = self.changed().await {
                return end;
            }
        }
    }

    /// Handles the current tables and statuses.
    fn update(&mut self) -> Result<(), FollowEnd> {
        let home = address_of_home(self.own_edge, &self.own_tables.borrow_and_update().edges);
        if home != Some(self.address) {
            self.controllers.follow_feeder();
            return Err(FollowEnd::HomeChanged);
        }
        let home_status = *self.home_status.borrow_and_update();
        if self.connected && home_status.address.is_none() {
            self.controllers.follow_feeder();
            return Err(FollowEnd::HomeFailed);
        }
        self.connected |= home_status.address.is_some();
        let follows_home = self.controller_status.borrow_and_update().follows_home;
        if self.following && !follows_home {
            // The home lagged, and the subscription resumed updates from the controller.
            return Err(FollowEnd::HomeFailed);
        }
        self.following = follows_home;
        let offered = self.home_tables.borrow_and_update().clone();
        let held_revision = self.own_tables.borrow().revision;
        if self.following {
            if offered.revision > held_revision {
                self.controllers.offer(offered);
            }
        } else if home_status.current && offered.revision >= held_revision {
            self.controllers.follow_home();
        }
        Ok(())
    }

    /// Waits until any of the tables or statuses changes, or the timeout for connecting to the home
    /// expires.
    async fn changed(&mut self) -> Result<(), FollowEnd> {
        let changed = tokio::select! {
            changed = self.own_tables.changed() => changed,
            changed = self.controller_status.changed() => changed,
            changed = self.home_tables.changed() => changed,
            changed = self.home_status.changed() => changed,
            () = tokio::time::sleep_until(self.connect_deadline), if !self.connected => {
                return Err(FollowEnd::HomeFailed);
            }
        };
        changed.map_err(|_closed| FollowEnd::AgentStopped)
    }
}

/// Subscribes to the home, starting from this agent's tables.
fn subscribe(
    own_edge: &Edge,
    address: SocketAddr,
    own_tables: &watch::Receiver<Arc<Tables>>,
) -> Subscription {
    let (_, candidates) = watch::channel(vec![address]);
    let options = SubscriptionOptions {
        hello: Hello::new(Channel::Peer, own_edge.node.clone()),
        subscriber: Subscriber::Peer,
        candidates,
        feeder_timeout: HOME_TIMEOUT,
    };
    Subscription::start_from(options, own_tables.borrow().clone())
}
