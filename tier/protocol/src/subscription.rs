//! The client side of [`crate::feed`]: keeps one connection to one of several feeders, and publishes what it
//! tells as immutable tables. Agents and stores use it towards controllers, a proxy towards its agent.
//!
//! A feeder that falls silent, says that it is not current, or stays behind what is held already is left for
//! the next one at once. The published revision never goes back within the life of a subscription.

mod exchange;
mod link;
mod progress;
mod rotation;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::{mpsc, oneshot, watch};

pub use progress::{Progress, Step, MAX_HOME_LAG};
pub use rotation::Rotation;

use crate::feed::{FromSubscriber, Subscriber};
use crate::tables::Tables;
use crate::transport::Hello;

/// Longest silence of a controller: two of its heartbeats (300 ms) may be lost or late.
pub const CONTROLLER_TIMEOUT: Duration = Duration::from_millis(700);
/// Longest silence of the agent of the same machine: its heartbeats (500 ms) share a fraction of a core with
/// the proxy, and nothing else could be asked instead.
pub const AGENT_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Orders of the owner that wait while no feeder is reached; further ones are dropped.
const ORDERS: usize = 64;

/// What a subscription needs to know.
pub struct SubscriptionOptions {
    /// The greeting, which names this machine.
    pub hello: Hello,
    /// Who subscribes.
    pub subscriber: Subscriber,
    /// Feeders to choose from. Those that a feeder tells ([`crate::feed::ToSubscriber::Controllers`]) are
    /// added to them.
    pub candidates: watch::Receiver<Vec<SocketAddr>>,
    /// A feeder that says nothing for this long is left.
    pub feeder_timeout: Duration,
}

/// How the connection to a feeder stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkStatus {
    /// Whether the connection is up, the feeder says that it is current, and the tables are at its revision.
    pub current: bool,
    /// Since when `current` and `address` are as they are.
    pub changed_at: Instant,
    /// The connected feeder; None while there is none.
    pub address: Option<SocketAddr>,
    /// Whether the feeder sends heartbeats only, and updates come from [`Subscription::offer`].
    pub follows_home: bool,
    /// When the tables were last known to be current. Rises without waking the watchers.
    pub confirmed_at: Option<Instant>,
}

impl LinkStatus {
    /// Not connected since `now`.
    fn none(now: Instant) -> Self {
        LinkStatus {
            current: false,
            changed_at: now,
            address: None,
            follows_home: false,
            confirmed_at: None,
        }
    }

    /// Whether the tables were known to be current at some moment within `age` before `now`.
    pub fn confirmed_within(&self, age: Duration, now: Instant) -> bool {
        self.confirmed_at
            .is_some_and(|at| now.saturating_duration_since(at) <= age)
    }
}

/// A running subscription. It ends when this is dropped.
pub struct Subscription {
    tables: watch::Receiver<Arc<Tables>>,
    standing: watch::Receiver<LinkStatus>,
    orders: mpsc::Sender<Order>,
}

/// What the owner wants.
enum Order {
    /// A message to be sent; the owner may wait until it has been handed to the operating system.
    Send {
        message: FromSubscriber,
        written: Option<oneshot::Sender<()>>,
    },
    /// Updates come by offers from now on, until the feeder's heartbeats show that these lag.
    ByHome,
    /// Updates come from the feeder again.
    Direct,
    /// Tables from elsewhere.
    Offer(Arc<Tables>),
}

impl Subscription {
    /// Starts a subscription on the current `LocalSet`, holding nothing.
    pub fn start(options: SubscriptionOptions) -> Self {
        Subscription::start_from(options, Arc::default())
    }

    /// Starts a subscription on the current `LocalSet`, holding these tables.
    pub fn start_from(options: SubscriptionOptions, held: Arc<Tables>) -> Self {
        let (publish_tables, tables) = watch::channel(held);
        let (publish_standing, standing) = watch::channel(LinkStatus::none(Instant::now()));
        let (orders, queue) = mpsc::channel(ORDERS);
        let link = link::Link::new(options, publish_tables, publish_standing, queue);
        tokio::task::spawn_local(link.run());
        Subscription {
            tables,
            standing,
            orders,
        }
    }

    /// The tables, replaced whole with every change.
    pub fn tables(&self) -> watch::Receiver<Arc<Tables>> {
        self.tables.clone()
    }

    /// How the connection stands.
    pub fn status(&self) -> watch::Receiver<LinkStatus> {
        self.standing.clone()
    }

    /// Sends a message to the feeder, once. It may be lost with the connection: what has to arrive is to be
    /// sent again whenever [`LinkStanding::address`] changes. False if the queue is full.
    pub fn send(&self, message: FromSubscriber) -> bool {
        self.orders
            .try_send(Order::Send {
                message,
                written: None,
            })
            .is_ok()
    }

    /// Sends a message and waits until it has been handed to the operating system; false after `timeout`.
    pub async fn send_and_flush(&self, message: FromSubscriber, timeout: Duration) -> bool {
        let (written, done) = oneshot::channel();
        if self
            .orders
            .try_send(Order::Send {
                message,
                written: Some(written),
            })
            .is_err()
        {
            return false;
        }
        matches!(tokio::time::timeout(timeout, done).await, Ok(Ok(())))
    }

    /// From now on, updates come by [`Subscription::offer`]; the feeder sends heartbeats only. As soon as offers
    /// lag behind the feeder's revision by [`MAX_HOME_LAG`], and on every new connection, the feeder is asked for
    /// updates again. Nothing happens while the feeder has announced more than is held. False if the queue is
    /// full.
    pub fn follow_home(&self) -> bool {
        self.orders.try_send(Order::ByHome).is_ok()
    }

    /// Updates are to come from the feeder again. False if the queue is full.
    pub fn follow_feeder(&self) -> bool {
        self.orders.try_send(Order::Direct).is_ok()
    }

    /// Tables from elsewhere. They are published if they are newer than what is held, and updates do not come
    /// from the feeder. False if the queue is full.
    pub fn offer(&self, tables: Arc<Tables>) -> bool {
        self.orders.try_send(Order::Offer(tables)).is_ok()
    }
}
