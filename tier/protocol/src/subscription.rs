//! The client side of [`crate::feed`]: keeps one connection to one of several feeders, and
//! publishes their updates as immutable tables. Agents and stores subscribe to controllers, a proxy
//! to the agent of its machine, an agent also to the home of its zone.
//!
//! A feeder that sends nothing for a time, says that it is not current, or stays behind the tables
//! of the subscriber is left for the next one at once. The published revision never goes back
//! during a subscription.
//!
//! A [`Subscription`] is the owner's handle. Its task (`task`) goes from feeder to feeder in the
//! order of `rotation`; `session` is one connection, and `progress` decides, without I/O, what each
//! message means.

mod progress;
mod rotation;
mod session;
mod status;
mod task;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::{mpsc, oneshot, watch};

pub use progress::{Progress, Step, MAX_HOME_LAG};
pub use rotation::Rotation;
pub use status::LinkStatus;

use crate::feed::{FromSubscriber, Subscriber};
use crate::tables::Tables;
use crate::transport::Hello;
use task::SubscriptionTask;

/// A controller that sends nothing for this long is left: two of its heartbeats (300 ms) may be
/// lost or late.
pub const CONTROLLER_TIMEOUT: Duration = Duration::from_millis(700);
/// The agent of the same machine is left after this time: its heartbeats (500 ms) share a fraction
/// of a core with the proxy, and the proxy has no other feeder.
pub const AGENT_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Most commands of the owner that wait while no feeder is connected; further ones are rejected.
const MAX_PENDING_COMMANDS: usize = 64;

/// What a subscription needs to know.
pub struct SubscriptionOptions {
    /// The greeting, which names this machine.
    pub hello: Hello,
    /// The kind of subscriber, with what registers it.
    pub subscriber: Subscriber,
    /// Feeders to choose from. The feeders that a feeder names
    /// ([`crate::feed::ToSubscriber::Controllers`]) are added to them.
    pub candidates: watch::Receiver<Vec<SocketAddr>>,
    /// A feeder that sends nothing for this long is left.
    pub feeder_timeout: Duration,
}

/// A running subscription. Dropping it closes the connection and ends the task.
pub struct Subscription {
    tables: watch::Receiver<Arc<Tables>>,
    status: watch::Receiver<LinkStatus>,
    commands: mpsc::Sender<Command>,
}

/// A command of the owner to the subscription's task.
enum Command {
    /// Send a message to the feeder.
    Send {
        message: FromSubscriber,
        /// Notified when the message has been handed to the operating system.
        flushed: Option<oneshot::Sender<()>>,
    },
    /// Take updates from [`Command::Offer`], until the feeder's heartbeats show that the offers
    /// lag.
    FollowHome,
    /// Take updates from the feeder again.
    FollowFeeder,
    /// Tables of the home.
    Offer(Arc<Tables>),
}

impl Subscription {
    /// Starts a subscription on the current `LocalSet`, without any tables.
    pub fn start(options: SubscriptionOptions) -> Self {
        Subscription::start_from(options, Arc::default())
    }

    /// Starts a subscription on the current `LocalSet` from the tables that its owner has.
    pub fn start_from(options: SubscriptionOptions, held: Arc<Tables>) -> Self {
        let (publish_tables, tables) = watch::channel(held);
        let (publish_status, status) = watch::channel(LinkStatus::disconnected(Instant::now()));
        let (commands, received) = mpsc::channel(MAX_PENDING_COMMANDS);
        let task = SubscriptionTask::new(options, publish_tables, publish_status, received);
        // Ends when `commands` is dropped with the subscription.
        tokio::task::spawn_local(task.run());
        Subscription {
            tables,
            status,
            commands,
        }
    }

    /// The tables; each change replaces them by a new value.
    pub fn tables(&self) -> watch::Receiver<Arc<Tables>> {
        self.tables.clone()
    }

    /// The status of the connection.
    pub fn status(&self) -> watch::Receiver<LinkStatus> {
        self.status.clone()
    }

    /// Sends a message to the feeder, once. The message may be lost with the connection: a message
    /// that has to arrive is sent again whenever [`LinkStatus::address`] changes. False if the
    /// queue is full.
    pub fn send(&self, message: FromSubscriber) -> bool {
        let flushed = None;
        self.command(Command::Send { message, flushed })
    }

    /// Sends a message and waits until it has been handed to the operating system; false after
    /// `timeout`.
    pub async fn send_and_flush(&self, message: FromSubscriber, timeout: Duration) -> bool {
        let (flushed, done) = oneshot::channel();
        let flushed = Some(flushed);
        if !self.command(Command::Send { message, flushed }) {
            return false;
        }
        matches!(tokio::time::timeout(timeout, done).await, Ok(Ok(())))
    }

    /// Takes updates from [`Subscription::offer`] from now on; the feeder sends heartbeats only. As
    /// soon as the offers lag behind the feeder's revision by [`MAX_HOME_LAG`], and on every new
    /// connection, the feeder is asked for updates again. Nothing happens while the feeder has
    /// announced a later revision than the subscriber's. False if the queue is full.
    pub fn follow_home(&self) -> bool {
        self.command(Command::FollowHome)
    }

    /// Takes updates from the feeder again. False if the queue is full.
    pub fn follow_feeder(&self) -> bool {
        self.command(Command::FollowFeeder)
    }

    /// Offers tables of the home. They are published if they are newer than the subscriber's, and
    /// updates do not come from the feeder. False if the queue is full.
    pub fn offer(&self, tables: Arc<Tables>) -> bool {
        self.command(Command::Offer(tables))
    }

    fn command(&self, command: Command) -> bool {
        self.commands.try_send(command).is_ok()
    }
}
