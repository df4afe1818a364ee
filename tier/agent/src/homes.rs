//! Takes updates from the home of this machine's zone, so that the controllers need not send every
//! update to each edge.
//!
//! Correctness does not rest on homes: a controller announces each revision at once, and if the
//! home has not sent that revision within [`plankhill_protocol::subscription::MAX_HOME_LAG`], the
//! controller is asked for it.

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

/// A home that sends nothing for three of its heartbeat intervals is left.
const HOME_TIMEOUT: Duration = PEER_FEEDER.heartbeat_interval.saturating_mul(3);
/// A home that cannot be reached within this time has failed.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Backoff after a home failed; it doubles with each failure in a row.
const INITIAL_BACKOFF: Duration = Duration::from_secs(5);
/// Longest backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(60);

/// Why a home is not followed any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FollowEnd {
    /// The zone has another home now.
    HomeChanged,
    /// The home lagged, or its connection broke.
    HomeFailed,
    /// This agent ends.
    AgentEnds,
}

/// Follows the home of the zone of `me` until the subscription to the controllers ends.
pub async fn follow_homes(me: Edge, controllers: Rc<Subscription>) {
    let mut tables = controllers.tables();
    let mut backoff = INITIAL_BACKOFF;
    loop {
        let home = address_of_home(&me, &tables.borrow_and_update().edges);
        let Some(home) = home else {
            if tables.changed().await.is_err() {
                return;
            }
            continue;
        };
        match FollowedHome::new(&me, home, &controllers).run().await {
            FollowEnd::AgentEnds => return,
            FollowEnd::HomeChanged => backoff = INITIAL_BACKOFF,
            FollowEnd::HomeFailed => {
                tracing::info!(%home, "zone home failed");
                let changed =
                    tables.wait_for(|tables| address_of_home(&me, &tables.edges) != Some(home));
                // Either way the loop looks at the tables again.
                let _ = timeout(backoff, changed).await;
                backoff = MAX_BACKOFF.min(backoff * 2);
            }
        }
    }
}

fn address_of_home(me: &Edge, edges: &[Edge]) -> Option<SocketAddr> {
    home_to_follow(me, edges).map(|home| home.address)
}

/// One home that this agent follows. Dropping it ends the subscription to the home.
struct FollowedHome<'a> {
    me: &'a Edge,
    address: SocketAddr,
    controllers: &'a Subscription,
    own_tables: watch::Receiver<Arc<Tables>>,
    controller_status: watch::Receiver<LinkStatus>,
    home_tables: watch::Receiver<Arc<Tables>>,
    home_status: watch::Receiver<LinkStatus>,
    connect_deadline: Instant,
    /// Whether the home has been connected.
    connected: bool,
    /// Whether the subscription to the controllers takes its updates from offers.
    following: bool,
    _home: Subscription,
}

impl<'a> FollowedHome<'a> {
    /// Subscribes to the home at `address`.
    fn new(me: &'a Edge, address: SocketAddr, controllers: &'a Subscription) -> Self {
        let own_tables = controllers.tables();
        let home = subscribe(me, address, &own_tables);
        FollowedHome {
            me,
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

    /// Acts on the present tables and statuses.
    fn update(&mut self) -> Result<(), FollowEnd> {
        let home = address_of_home(self.me, &self.own_tables.borrow_and_update().edges);
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
            // The home lagged, and the subscription went back to the controller.
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

    /// Waits until any of the tables or statuses changes, or the home should have been connected.
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
        changed.map_err(|_ended| FollowEnd::AgentEnds)
    }
}

/// A subscription to the home, which starts from this agent's tables.
fn subscribe(
    me: &Edge,
    address: SocketAddr,
    own_tables: &watch::Receiver<Arc<Tables>>,
) -> Subscription {
    let (_, candidates) = watch::channel(vec![address]);
    let options = SubscriptionOptions {
        hello: Hello::new(Channel::Peer, me.node.clone()),
        subscriber: Subscriber::Peer,
        candidates,
        feeder_timeout: HOME_TIMEOUT,
    };
    Subscription::start_from(options, own_tables.borrow().clone())
}
