//! Puts the process together.

use std::hash::{BuildHasher, RandomState};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use plankhill_dispatch::{DispatchSettings, Dispatcher};
use plankhill_protocol::ids::{NodeId, ZoneName};
use plankhill_protocol::transport::listen;
use plankhill_settings::Settings;
use plankhill_store_client::StoreClient;
use tokio::sync::mpsc;
use tokio::task::LocalSet;

use crate::admission::Admission;
use crate::clock::Clock;
use crate::exchange::Targets;
use crate::life::Life;
use crate::memory::Memory;
use crate::orders::PingOrder;
use crate::process::Proxy;
use crate::shutdown::Signals;
use crate::snapshot::SnapshotCell;
use crate::target_pool::TargetPool;
use crate::{draining, feed, listener, ping, ready};

/// Descriptors that are left for connections to targets, to stores and to the agent, as a share of all.
const SHARE_FOR_OTHERS: f64 = 0.4;

/// Bodies may take up this share of the process's memory; the rest is for connections and tables.
const SHARE_FOR_BODIES: f64 = 0.4;
/// Requests held or out at once: each holds some kilobytes, and more could not be served in time.
const MOST_REQUESTS: usize = 2_000;

/// Why the process ended without being asked to.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The settings name no address for clients, or none for readiness.
    #[error("the settings lack listeners_map.{0}")]
    NoListener(&'static str),
    /// The address cannot be listened at.
    #[error("cannot listen at {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the operating system answered.
        source: io::Error,
    },
    /// The operating system refused something that the process cannot do without.
    #[error("{0}")]
    System(#[from] io::Error),
}

/// Runs the proxy until it is asked to end.
///
/// # Errors
/// [`RunError`] if it cannot start.
pub fn run(settings: Settings) -> Result<(), RunError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, serve(settings))
}

async fn serve(settings: Settings) -> Result<(), RunError> {
    let clients = settings
        .listeners_map
        .http
        .ok_or(RunError::NoListener("http"))?;
    let readiness = settings
        .listeners_map
        .readiness
        .ok_or(RunError::NoListener("readiness"))?;
    let signals = Signals::catch()?;
    let clients = bound(clients)?;
    let readiness = bound(readiness)?;
    let (pings, ping_orders) = mpsc::unbounded_channel();
    let proxy = assemble(&settings, pings);
    let (follower, subscription) = (proxy.clone(), feed::subscribe(&settings));
    let subscription = Rc::new(subscription);
    let say = subscription.clone();
    let say: draining::Say = Box::new(move |message| say.send(message));
    let node = NodeId::from(settings.node_id.as_str());
    tokio::task::spawn_local(draining::follow(
        proxy.clone(),
        node,
        subscription.tables(),
        say,
    ));
    tokio::task::spawn_local(feed::follow(follower, subscription));
    tokio::task::spawn_local(ping::carry_out(proxy.clone(), ping_orders));
    let admission = proxy.admission.clone();
    tokio::task::spawn_local(async move { admission.keep_time().await });
    tokio::task::spawn_local(ready::serve(proxy.clone(), readiness));
    tokio::task::spawn_local(listener::serve(
        proxy.clone(),
        clients,
        most_clients(&settings),
    ));
    tracing::info!(node = %settings.node_id, "proxy started");
    signals.ended(proxy, settings.bounds).await;
    Ok(())
}

fn assemble(settings: &Settings, pings: mpsc::UnboundedSender<PingOrder>) -> Rc<Proxy> {
    let clock = Clock::start();
    let pool = Rc::new(TargetPool::default());
    let zone = ZoneName::from(settings.zone.as_str());
    let node = NodeId::from(settings.node_id.as_str());
    let dispatch = DispatchSettings {
        seed: seed(),
        zone: zone.clone(),
        max_requests: MOST_REQUESTS,
    };
    let decisions = Box::new(Dispatcher::new(dispatch, clock.now()));
    let admission = Rc::new(Admission::new(clock, decisions, pool.clone(), pings));
    Rc::new(Proxy {
        clock,
        snapshots: SnapshotCell::default(),
        admission,
        targets: Targets { clock, pool },
        turns: Rc::new(StoreClient::new(node, zone)),
        memory: Rc::new(Memory::new(memory_for_bodies(settings))),
        life: Rc::new(Life::default()),
    })
}

/// Differs from process to process: the library's hash keys are drawn at random.
fn seed() -> u64 {
    RandomState::new().hash_one(std::process::id())
}

fn bound(address: SocketAddr) -> Result<tokio::net::TcpListener, RunError> {
    listen(address).map_err(|error| RunError::Listen {
        address,
        source: error.source,
    })
}

fn memory_for_bodies(settings: &Settings) -> usize {
    (settings.limits.memory_bytes() as f64 * SHARE_FOR_BODIES) as usize
}

fn most_clients(settings: &Settings) -> usize {
    let most = settings.limits.max_fds as f64 * (1.0 - SHARE_FOR_OTHERS);
    (most as usize).max(1)
}
