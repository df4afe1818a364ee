//! Starts the agent and runs it until SIGTERM. Called by `plankhill-tier agent`.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use plankhill_protocol::feed::{FromSubscriber, Subscriber};
use plankhill_protocol::subscription::{Subscription, SubscriptionOptions, CONTROLLER_TIMEOUT};
use plankhill_protocol::tables::Edge;
use plankhill_protocol::transport::{listen, Channel, Hello, ListenError};
use plankhill_settings::{run_on_current_thread, ProcessSignal, ProcessSignals, Settings};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;

use crate::failure_detection::detect_failures;
use crate::feeder::{serve, FeedSource, FeederOptions, PEER_FEEDER, PROXY_FEEDER};
use crate::homes::follow_homes;
use crate::identity::edge_from_settings;
use crate::shutdown::shut_down;

/// Maximum number of queued messages from the proxy to the controllers.
const MAX_FORWARDED_MESSAGES: usize = 8;

/// An error that prevents the agent from running.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The runtime or its signal handlers could not be set up.
    #[error("runtime: {0}")]
    Runtime(#[source] io::Error),
    /// A listener or the UDP socket could not be bound to its address.
    #[error(transparent)]
    Listen(#[from] ListenError),
}

/// Runs the agent until SIGTERM.
///
/// # Errors
/// [`RunError`] if the agent cannot start.
pub fn run(settings: Settings) -> Result<(), RunError> {
    run_on_current_thread(run_local(settings)).map_err(RunError::Runtime)?
}

async fn run_local(mut settings: Settings) -> Result<(), RunError> {
    let mut signals = ProcessSignals::new().map_err(RunError::Runtime)?;
    let loopback = listen(settings.agent_loopback_address())?;
    let datagrams = bind_datagrams(settings.agent_address()).await?;
    let peers = listen(settings.agent_address())?;
    let own_edge = edge_from_settings(&settings);
    let (candidates, watched) = watch::channel(settings.seed_controllers());
    let subscription = Rc::new(subscribe(&own_edge, watched));
    let (to_controllers, messages) = mpsc::channel(MAX_FORWARDED_MESSAGES);
    spawn_local(forward_to_controllers(messages, subscription.clone()));
    let source = FeedSource {
        tables: subscription.tables(),
        status: subscription.status(),
        to_controllers,
    };
    let connected_proxies = start_feeder(loopback, Channel::Feed, &own_edge, &source, PROXY_FEEDER);
    start_feeder(peers, Channel::Peer, &own_edge, &source, PEER_FEEDER);
    spawn_local(detect_failures(
        datagrams,
        own_edge.node.clone(),
        subscription.clone(),
    ));
    spawn_local(follow_homes(own_edge, subscription.clone()));
    tracing::info!(node = %settings.node_id, "agent started");
    while signals.next().await == ProcessSignal::ReloadSettings {
        reload(&mut settings, &candidates);
    }
    shut_down(&subscription, connected_proxies, settings.bounds.grace()).await;
    Ok(())
}

/// Subscribes to one of the controllers, which registers this machine as an edge.
fn subscribe(own_edge: &Edge, candidates: watch::Receiver<Vec<SocketAddr>>) -> Subscription {
    Subscription::start(SubscriptionOptions {
        hello: Hello::new(Channel::Feed, own_edge.node.clone()),
        subscriber: Subscriber::Edge(own_edge.clone()),
        candidates,
        feeder_timeout: CONTROLLER_TIMEOUT,
    })
}

/// Forwards messages from the proxy to the connected controller. Without a connection, messages are
/// dropped, since the proxy repeats them.
async fn forward_to_controllers(
    mut messages: mpsc::Receiver<FromSubscriber>,
    subscription: Rc<Subscription>,
) {
    while let Some(message) = messages.recv().await {
        if subscription.status().borrow().address.is_some() {
            subscription.send(message);
        }
    }
}

/// Starts a feeder for one kind of subscriber. Returns a watch on the number of connected
/// subscribers.
fn start_feeder(
    listener: TcpListener,
    channel: Channel,
    own_edge: &Edge,
    source: &FeedSource,
    options: FeederOptions,
) -> watch::Receiver<usize> {
    let (connected, count) = watch::channel(0);
    let hello = Hello::new(channel, own_edge.node.clone());
    spawn_local(serve(listener, hello, source.clone(), options, connected));
    count
}

/// Applies the settings that may change while the process runs: the seeds and the bounds.
fn reload(settings: &mut Settings, candidates: &watch::Sender<Vec<SocketAddr>>) {
    let Some(newest) = Settings::reload() else {
        return;
    };
    *settings = newest;
    candidates.send_replace(settings.seed_controllers());
    tracing::info!("settings reloaded");
}

async fn bind_datagrams(address: SocketAddr) -> Result<UdpSocket, ListenError> {
    match UdpSocket::bind(address).await {
        Ok(socket) => Ok(socket),
        Err(source) => Err(ListenError { address, source }),
    }
}
