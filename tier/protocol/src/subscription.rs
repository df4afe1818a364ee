//! The client side of [`crate::feed`]: maintains one connection to one of several feeders, and
//! publishes the received updates as immutable tables. Agents and stores subscribe to controllers,
//! a proxy to the agent of its machine, and an agent also to the home of its zone.
//!
//! A feeder that times out, reports that it is not current, or remains behind the subscriber's
//! tables is replaced by the next one, without delay if it was current before. The published
//! revision never decreases during a subscription.
//!
//! A [`Subscription`] is the owner's handle. Its task (`task`) connects to the feeders in the order
//! given by `rotation`; `session` runs one connection, and `progress` decides, without I/O, how
//! each message is handled.

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

/// Timeout of a silent controller: two of its heartbeats, which are sent every 300 ms, may be lost
/// or late.
pub const CONTROLLER_TIMEOUT: Duration = Duration::from_millis(700);
/// Timeout of the agent of the same machine. Agents send heartbeats every 500 ms; the agent shares
/// a fraction of a core with the proxy, and the proxy has no other feeder.
pub const AGENT_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Maximum number of the owner's commands that are queued while no feeder is connected; further
/// commands are rejected.
const MAX_PENDING_COMMANDS: usize = 64;

/// Options of a [`Subscription`].
pub struct SubscriptionOptions {
    /// The greeting sent on each connection, which contains the name of this machine.
    pub hello: Hello,
    /// The kind of subscriber, with its registration data.
    pub subscriber: Subscriber,
    /// Addresses of the feeders. The addresses that a feeder advertises
    /// ([`crate::feed::ToSubscriber::Controllers`]) are used in addition.
    pub candidates: watch::Receiver<Vec<SocketAddr>>,
    /// Timeout after which the connection to a silent feeder is closed; also the timeout of each
    /// send.
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
    /// Sends a message to the feeder.
    Send {
        message: FromSubscriber,
        /// Notified when the message has been handed to the operating system.
        flushed: Option<oneshot::Sender<()>>,
    },
    /// Takes updates from [`Command::Offer`] until the feeder's heartbeats show that the offers
    /// lag.
    FollowHome,
    /// Takes updates from the feeder again.
    FollowFeeder,
    /// Tables received from the home of the zone.
    Offer(Arc<Tables>),
}

impl Subscription {
    /// Starts a subscription on the current `LocalSet`, without any tables.
    pub fn start(options: SubscriptionOptions) -> Self {
        Subscription::start_from(options, Arc::default())
    }

    /// Starts a subscription on the current `LocalSet` with the tables that its owner already has.
    pub fn start_from(options: SubscriptionOptions, initial: Arc<Tables>) -> Self {
        let (publish_tables, tables) = watch::channel(initial);
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

    /// Returns a receiver of the tables; each change publishes a new value.
    pub fn tables(&self) -> watch::Receiver<Arc<Tables>> {
        self.tables.clone()
    }

    /// Returns a receiver of the connection's status.
    pub fn status(&self) -> watch::Receiver<LinkStatus> {
        self.status.clone()
    }

    /// Queues a message to the feeder, which is sent once and may be lost with the connection: the
    /// owner has to repeat a message that must arrive whenever [`LinkStatus::address`] changes.
    /// Returns false if the queue is full.
    pub fn send(&self, message: FromSubscriber) -> bool {
        let flushed = None;
        self.command(Command::Send { message, flushed })
    }

    /// Sends a message and waits until it has been handed to the operating system. Returns false if
    /// this fails or takes longer than `timeout`.
    pub async fn send_and_flush(&self, message: FromSubscriber, timeout: Duration) -> bool {
        let (flushed, done) = oneshot::channel();
        let flushed = Some(flushed);
        if !self.command(Command::Send { message, flushed }) {
            return false;
        }
        matches!(tokio::time::timeout(timeout, done).await, Ok(Ok(())))
    }

    /// Switches to updates from [`Subscription::offer`]; the feeder then sends heartbeats only. The
    /// subscription switches back to the feeder as soon as the offers have lagged behind the
    /// feeder's revision for [`MAX_HOME_LAG`], and on every new connection. Has no effect while the
    /// feeder has announced a later revision than the subscriber's. Returns false if the queue is
    /// full.
    pub fn follow_home(&self) -> bool {
        self.command(Command::FollowHome)
    }

    /// Switches back to updates from the feeder. Returns false if the queue is full.
    pub fn follow_feeder(&self) -> bool {
        self.command(Command::FollowFeeder)
    }

    /// Offers tables received from the home. The tables are published if they are newer than the
    /// subscriber's and updates do not come from the feeder. Returns false if the queue is full.
    pub fn offer(&self, tables: Arc<Tables>) -> bool {
        self.command(Command::Offer(tables))
    }

    fn command(&self, command: Command) -> bool {
        self.commands.try_send(command).is_ok()
    }
}
