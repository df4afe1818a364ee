//! Starts the agent's parts and runs them until the platform ends the process.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use plankhill_protocol::feed::{FromSubscriber, Subscriber};
use plankhill_protocol::subscription::{Subscription, SubscriptionOptions, CONTROLLER_TIMEOUT};
use plankhill_protocol::tables::Edge;
use plankhill_protocol::transport::{listen, Channel, Hello};
use plankhill_settings::Settings;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, watch};
use tokio::task::LocalSet;

use crate::controllers::{controllers, ports};
use crate::end::end;
use crate::feeder::{serve, Audience, Source, PEERS, PROXY};
use crate::homes::follow_homes;
use crate::identity::edge;
use crate::peers::monitor_peers;
use crate::signals::{Request, Signals};

/// Messages of the proxy that wait to be passed on.
const UPWARDS: usize = 8;

/// Why the agent could not run.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The runtime or its signals.
    #[error("runtime: {0}")]
    Runtime(#[source] io::Error),
    /// A port of the range is taken.
    #[error("cannot listen at {address}: {source}")]
    Listen {
        /// Where.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
}

/// Runs the agent until SIGTERM.
///
/// # Errors
/// [`RunError`] if it cannot start.
pub fn run(settings: Settings) -> Result<(), RunError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(RunError::Runtime)?;
    LocalSet::new().block_on(&runtime, run_local(settings))
}

async fn run_local(mut settings: Settings) -> Result<(), RunError> {
    let mut signals = Signals::listen().map_err(RunError::Runtime)?;
    let loopback = listen_at(ports(&settings).agent_loopback(settings.ip))?;
    let datagrams = bind_datagrams(ports(&settings).agent(settings.ip)).await?;
    let peers = listen_at(ports(&settings).agent(settings.ip))?;
    let me = edge(&settings);
    let (candidates, watched) = watch::channel(controllers(&settings));
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
    while let Request::Reload = signals.next().await {
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
    match Settings::load() {
        Ok(newest) => {
            *settings = newest;
            candidates.send_replace(controllers(settings));
            tracing::info!("settings read again");
        }
        Err(error) => tracing::warn!(%error, "settings stay as they were"),
    }
}

fn listen_at(address: SocketAddr) -> Result<TcpListener, RunError> {
    listen(address).map_err(|source| RunError::Listen { address, source })
}

async fn bind_datagrams(address: SocketAddr) -> Result<UdpSocket, RunError> {
    UdpSocket::bind(address)
        .await
        .map_err(|source| RunError::Listen { address, source })
}
