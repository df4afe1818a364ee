//! Sends the tables of this machine to subscribers: to the proxy on the same machine, and to the
//! other agents of the zone while this machine is their home. This module accepts the connections;
//! each one is served by a `session`.

mod session;

use std::sync::Arc;
use std::time::Duration;

use plankhill_protocol::feed::FromSubscriber;
use plankhill_protocol::subscription::LinkStatus;
use plankhill_protocol::tables::Tables;
use plankhill_protocol::transport::{accept, Hello};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

/// The options of a feeder for one kind of subscriber.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FeederOptions {
    /// Interval between heartbeats.
    pub heartbeat_interval: Duration,
    /// Maximum number of open connections; excess connections are closed, and their subscribers
    /// connect elsewhere.
    pub max_connections: usize,
}

/// Options for the proxy on the same machine. Each heartbeat wakes both processes, which share a
/// fraction of a core. Several connections are allowed because a new connection may arrive before
/// the end of the previous one is detected.
pub const PROXY_FEEDER: FeederOptions = FeederOptions {
    heartbeat_interval: Duration::from_millis(500),
    max_connections: 4,
};
/// Options for the other agents of the zone. They do not rely on heartbeats: they detect a missing
/// update when a controller announces its revision.
pub const PEER_FEEDER: FeederOptions = FeederOptions {
    heartbeat_interval: Duration::from_secs(10),
    max_connections: 64,
};
/// Delay after a failed accept, for example when the process has run out of file descriptors. Open
/// connections can end in the meantime.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// The tables and status that a feeder sends, and the queue for messages from its subscribers.
#[derive(Clone)]
pub struct FeedSource {
    /// The tables of this machine.
    pub tables: watch::Receiver<Arc<Tables>>,
    /// The status of the connection to the controllers.
    pub status: watch::Receiver<LinkStatus>,
    /// Queue of messages from subscribers to the controllers.
    pub to_controllers: mpsc::Sender<FromSubscriber>,
}

/// Accepts and serves subscribers; never returns. `connected` holds the number of open connections.
pub async fn serve(
    listener: TcpListener,
    hello: Hello,
    source: FeedSource,
    options: FeederOptions,
    connected: watch::Sender<usize>,
) {
    loop {
        let Ok((stream, address)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        if *connected.borrow() >= options.max_connections {
            continue;
        }
        let guard = ConnectionGuard::new(connected.clone());
        let hello = hello.clone();
        let source = source.clone();
        tokio::task::spawn_local(async move {
            let _guard = guard;
            if let Ok(connection) = accept(stream, address, &hello).await {
                let node = connection.peer.node.clone();
                let reason = session::run(connection, source, options.heartbeat_interval).await;
                tracing::info!(%node, %reason, "subscriber disconnected");
            }
        });
    }
}

/// Counts one connection in `connected` until the guard is dropped.
struct ConnectionGuard {
    connected: watch::Sender<usize>,
}

impl ConnectionGuard {
    fn new(connected: watch::Sender<usize>) -> Self {
        connected.send_modify(|count| *count += 1);
        ConnectionGuard { connected }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.connected.send_modify(|count| *count -= 1);
    }
}
