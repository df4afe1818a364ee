//! Hollow forwarders: each a real subscription at the controllers, with no proxy behind it.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use plankhill_demo::layout::ZONES;
use plankhill_protocol::feed::Subscriber;
use plankhill_protocol::ids::{Incarnation, NodeId, ZoneName};
use plankhill_protocol::subscription::{Subscription, SubscriptionOptions, CONTROLLER_SILENCE};
use plankhill_protocol::tables::{Edge, Tables};
use plankhill_protocol::transport::{Channel, Hello};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{timeout, Instant};

/// Hollow forwarders of one run.
pub struct Agents {
    subscriptions: Vec<Subscription>,
    _candidates: watch::Sender<Vec<SocketAddr>>,
}

impl Agents {
    /// Starts so many, subscribed at these controllers.
    pub fn start(count: usize, controllers: Vec<SocketAddr>) -> Self {
        let (candidates, watched) = watch::channel(controllers);
        let subscription = |number: usize| {
            let node = NodeId::from(format!("hollow-{number}").as_str());
            let edge = Edge {
                node: node.clone(),
                incarnation: Incarnation(1),
                address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
                zone: ZoneName::from(ZONES[number % ZONES.len()]),
            };
            Subscription::start(SubscriptionOptions {
                hello: Hello::new(Channel::Feed, node),
                subscriber: Subscriber::Edge(edge),
                candidates: watched.clone(),
                silence: CONTROLLER_SILENCE,
            })
        };
        Agents { subscriptions: (0..count).map(subscription).collect(), _candidates: candidates }
    }

    /// Waits until the tables of all of them fit; how long each took since `since`, or none if `limit` passed.
    pub async fn all_hold(
        &self,
        since: Instant,
        limit: Duration,
        fits: impl Fn(&Tables) -> bool + Copy + 'static,
    ) -> Option<Vec<Duration>> {
        let mut waiting = JoinSet::new();
        for subscription in &self.subscriptions {
            let mut tables = subscription.tables();
            waiting.spawn_local(async move {
                let _ = tables.wait_for(|tables| fits(tables)).await;
                since.elapsed()
            });
        }
        timeout(limit, waiting.join_all()).await.ok()
    }

    /// Ends some of them without a word, as lost machines do.
    pub fn lose(&mut self, count: usize) {
        let left = self.subscriptions.len().saturating_sub(count);
        self.subscriptions.truncate(left);
    }
}
