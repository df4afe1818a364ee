//! Starts the agent's parts and runs them until the platform ends the process.

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

use crate::end::end;
use crate::feeder::{serve, Audience, Source, PEERS, PROXY};
use crate::homes::follow_homes;
use crate::identity::edge;
use crate::peers::monitor_peers;

/// Messages of the proxy that wait to be passed on.
const UPWARDS: usize = 8;

/// Why the agent could not run.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The operating system refused the runtime, or a handler of signals.
    #[error("runtime: {0}")]
    Runtime(#[source] io::Error),
    /// A port of the range is taken.
    #[error(transparent)]
    Listen(#[from] ListenError),
}

/// Runs the agent until SIGTERM.
///
/// # Errors
/// [`RunError`] if it cannot start.
pub fn run(settings: Settings) -> Result<(), RunError> {
    run_on_current_thread(run_local(settings)).map_err(RunError::Runtime)?
}

async fn run_local(mut settings: Settings) -> Result<(), RunError> {
    let mut signals = ProcessSignals::new().map_err(RunError::Runtime)?;
    let loopback = listen(settings.agent_loopback_address())?;
    let datagrams = bind_datagrams(settings.agent_address()).await?;
    let peers = listen(settings.agent_address())?;
    let me = edge(&settings);
    let (candidates, watched) = watch::channel(settings.seed_controllers());
    let subscription = Rc::new(Subscription::start(SubscriptionOptions {
        hello: Hello::new(Channel::Feed, me.node.clone()),
        subscriber: Subscriber::Edge(me.clone()),
        candidates: watched,
        feeder_timeout: CONTROLLER_TIMEOUT,
    }));
    let (upwards, messages) = mpsc::channel(UPWARDS);
    tokio::task::spawn_local(pass_upwards(messages, subscription.clone()));
    let source = Source {
        tables: subscription.tables(),
        standing: subscription.status(),
        upwards,
    };
    let proxies = start_feeder(loopback, Channel::Feed, &me, &source, PROXY);
    start_feeder(peers, Channel::Peer, &me, &source, PEERS);
    tokio::task::spawn_local(monitor_peers(
        datagrams,
        me.node.clone(),
        subscription.clone(),
    ));
    tokio::task::spawn_local(follow_homes(me, subscription.clone()));
    tracing::info!(node = %settings.node_id, "agent started");
    while signals.next().await == ProcessSignal::ReloadSettings {
        reload(&mut settings, &candidates);
    }
    end(&subscription, proxies, settings.bounds.grace()).await;
    Ok(())
}

/// Passes what the proxy says on to a controller, if one is connected; it is said again otherwise.
async fn pass_upwards(
    mut messages: mpsc::Receiver<FromSubscriber>,
    subscription: Rc<Subscription>,
) {
    while let Some(message) = messages.recv().await {
        if subscription.status().borrow().address.is_some() {
            subscription.send(message);
        }
    }
}

/// Feeds one kind of subscribers; how many are connected.
fn start_feeder(
    listener: TcpListener,
    channel: Channel,
    me: &Edge,
    source: &Source,
    audience: Audience,
) -> watch::Receiver<usize> {
    let (connected, count) = watch::channel(0);
    let hello = Hello::new(channel, me.node.clone());
    tokio::task::spawn_local(serve(listener, hello, source.clone(), audience, connected));
    count
}

/// Takes over what may change while the process runs: the seeds and the bounds.
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
