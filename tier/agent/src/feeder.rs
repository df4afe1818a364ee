//! Sends the tables of this machine to subscribers: to the proxy of the same machine, and to the
//! other agents of the zone while this machine is their home. Accepts the connections; each is
//! served by a `session`.

mod session;

use std::sync::Arc;
use std::time::Duration;

use plankhill_protocol::feed::FromSubscriber;
use plankhill_protocol::subscription::LinkStatus;
use plankhill_protocol::tables::Tables;
use plankhill_protocol::transport::{accept, Hello};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

/// What a feeder grants one kind of subscribers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FeederOptions {
    /// Time between heartbeats.
    pub heartbeat_interval: Duration,
    /// Most connections at once; further ones are closed, and their subscribers go elsewhere.
    pub max_connections: usize,
}

/// For the proxy of the same machine. Each heartbeat wakes both processes, and these share a
/// fraction of a core. A new connection may come before the end of the old one is seen.
pub const PROXY_FEEDER: FeederOptions = FeederOptions {
    heartbeat_interval: Duration::from_millis(500),
    max_connections: 4,
};
/// For other agents of the zone. They do not rely on heartbeats, but on updates as soon as a
/// controller has announced them.
pub const PEER_FEEDER: FeederOptions = FeederOptions {
    heartbeat_interval: Duration::from_secs(10),
    max_connections: 64,
};
/// Backoff after a failed accept, when the process has no file descriptor left: open connections
/// can end meanwhile.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// What a feeder sends, and where it passes messages of its subscribers on to.
#[derive(Clone)]
pub struct FeedSource {
    /// The tables of this machine.
    pub tables: watch::Receiver<Arc<Tables>>,
    /// The status of the link to the controllers.
    pub status: watch::Receiver<LinkStatus>,
    /// Messages of subscribers for the controllers.
    pub to_controllers: mpsc::Sender<FromSubscriber>,
}

/// Accepts subscribers for ever; `connected` counts them.
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
        let counted = ConnectedSubscriber::new(connected.clone());
        let hello = hello.clone();
        let source = source.clone();
        tokio::task::spawn_local(async move {
            let _counted = counted;
            if let Ok(connection) = accept(stream, address, &hello).await {
                let node = connection.peer.node.clone();
                let reason = session::run(connection, source, options.heartbeat_interval).await;
                tracing::info!(%node, %reason, "subscriber disconnected");
            }
        });
    }
}

/// Counts one subscriber as connected until it is dropped.
struct ConnectedSubscriber {
    connected: watch::Sender<usize>,
}

impl ConnectedSubscriber {
    fn new(connected: watch::Sender<usize>) -> Self {
        connected.send_modify(|count| *count += 1);
        ConnectedSubscriber { connected }
    }
}

impl Drop for ConnectedSubscriber {
    fn drop(&mut self) {
        self.connected.send_modify(|count| *count -= 1);
    }
}
