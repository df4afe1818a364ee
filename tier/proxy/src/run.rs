//! Assembles the process and runs it until it is signalled to end.

use std::hash::{BuildHasher, RandomState};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use plankhill_dispatch::{DispatchSettings, Dispatcher};
use plankhill_protocol::ids::{NodeId, ZoneName};
use plankhill_protocol::transport::listen;
use plankhill_settings::{run_on_current_thread, ProcessSignals, Settings};
use plankhill_store_client::StoreClient;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use crate::admission::Admission;
use crate::clock::Clock;
use crate::decision::HealthCheckRequest;
use crate::lifecycle::Lifecycle;
use crate::memory_budget::MemoryBudget;
use crate::process::Proxy;
use crate::snapshot::SnapshotCell;
use crate::target_client::TargetClient;
use crate::target_pool::TargetPool;
use crate::{draining, health_check, listener, readiness, signals, table_feed};

/// The share of all file descriptors that is reserved for connections to targets, to stores and to
/// the agent.
const RESERVED_DESCRIPTOR_SHARE: f64 = 0.4;
/// The share of the process's memory for bodies; the remainder is for connections and tables.
const BODY_MEMORY_SHARE: f64 = 0.4;
/// Maximum number of requests queued or in flight: each takes some kilobytes, and more could not be
/// served in time.
const MAX_REQUESTS: usize = 2_000;

/// Why the process ended without being signalled to.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The settings lack the address for clients or the one for readiness checks.
    #[error("the settings lack listeners_map.{0}")]
    NoListener(&'static str),
    /// Listening on the address failed.
    #[error("cannot listen at {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A required operating system call failed.
    #[error("{0}")]
    System(#[from] io::Error),
}

/// Runs the proxy until it is signalled to end.
///
/// # Errors
/// [`RunError`] if the proxy cannot start.
pub fn run(settings: Settings) -> Result<(), RunError> {
    run_on_current_thread(serve(settings))?
}

/// The tasks spawned here run until the end of the process, when the local set drops them.
async fn serve(settings: Settings) -> Result<(), RunError> {
    let listeners = &settings.listeners_map;
    let clients = listeners.http.ok_or(RunError::NoListener("http"))?;
    let readiness_checks = listeners
        .readiness
        .ok_or(RunError::NoListener("readiness"))?;
    let process_signals = ProcessSignals::new()?;
    let clients = bind(clients)?;
    let readiness_checks = bind(readiness_checks)?;
    let (check_sender, health_checks) = mpsc::unbounded_channel();
    let proxy = assemble(&settings, check_sender);
    let subscription = Rc::new(table_feed::subscribe(&settings));
    let report: draining::ReportSender = {
        let subscription = subscription.clone();
        Box::new(move |message| subscription.send(message))
    };
    let node = NodeId::from(settings.node_id.as_str());
    spawn_local(draining::run(
        proxy.clone(),
        node,
        subscription.tables(),
        report,
    ));
    spawn_local(table_feed::run(proxy.clone(), subscription));
    spawn_local(health_check::run(proxy.clone(), health_checks));
    let admission = proxy.admission.clone();
    spawn_local(async move { admission.run_timer().await });
    spawn_local(readiness::serve(proxy.clone(), readiness_checks));
    spawn_local(listener::serve(
        proxy.clone(),
        clients,
        max_clients(&settings),
    ));
    tracing::info!(node = %settings.node_id, "proxy started");
    signals::process_ended(process_signals, proxy, settings.bounds).await;
    Ok(())
}

fn assemble(
    settings: &Settings,
    health_checks: mpsc::UnboundedSender<HealthCheckRequest>,
) -> Rc<Proxy> {
    let clock = Clock::start();
    let pool = Rc::new(TargetPool::default());
    let zone = ZoneName::from(settings.zone.as_str());
    let node = NodeId::from(settings.node_id.as_str());
    let dispatch_settings = DispatchSettings {
        seed: random_seed(),
        zone: zone.clone(),
        max_requests: MAX_REQUESTS,
    };
    let dispatcher = Box::new(Dispatcher::new(dispatch_settings, clock.now()));
    let admission = Admission::new(clock, dispatcher, pool.clone(), health_checks);
    Rc::new(Proxy {
        clock,
        snapshots: SnapshotCell::default(),
        admission: Rc::new(admission),
        target_client: TargetClient { clock, pool },
        turns: Rc::new(StoreClient::new(node, zone)),
        memory: Rc::new(MemoryBudget::new(body_memory_bytes(settings))),
        lifecycle: Rc::new(Lifecycle::default()),
    })
}

/// Returns a seed that differs between processes: the standard library draws its hash keys at
/// random.
fn random_seed() -> u64 {
    RandomState::new().hash_one(std::process::id())
}

fn bind(address: SocketAddr) -> Result<TcpListener, RunError> {
    listen(address).map_err(|error| RunError::Listen {
        address,
        source: error.source,
    })
}

fn body_memory_bytes(settings: &Settings) -> usize {
    (settings.limits.memory_bytes() as f64 * BODY_MEMORY_SHARE) as usize
}

fn max_clients(settings: &Settings) -> usize {
    let max = settings.limits.max_fds as f64 * (1.0 - RESERVED_DESCRIPTOR_SHARE);
    (max as usize).max(1)
}
