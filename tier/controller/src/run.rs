//! Starts the process and runs it until the platform ends it.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use plankhill_control::ControlState;
use plankhill_protocol::ids::NodeId;
use plankhill_protocol::ports::PortRange;
use plankhill_protocol::transport::listen;
use plankhill_replica::{start, ReplicaHandle, ReplicaSettings, StartError};
use plankhill_settings::Settings;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tokio::task::LocalSet;

use crate::process::{start_tasks, Controller, Listeners};

/// Time for leaving the chain and for the calls under way at an orderly end; the platform gives several seconds.
const LEAVING: Duration = Duration::from_millis(2_000);
/// Time for the answers of the last calls, which wait for an outcome for less than a second.
const LAST_ANSWERS: Duration = Duration::from_millis(1_000);

/// Why the controller could not run.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// A key of the settings that a controller needs is missing.
    #[error("settings: {0} is needed by a controller")]
    Setting(&'static str),
    /// The runtime or its signals.
    #[error("runtime: {0}")]
    Runtime(#[source] io::Error),
    /// An address cannot be listened at.
    #[error("cannot listen at {address}: {source}")]
    Listen {
        /// Where.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The chain cannot start.
    #[error(transparent)]
    Chain(#[from] StartError),
    /// The chain's member ended by itself, as it does when its disk fails.
    #[error("the disk failed")]
    ChainEnded,
}

/// Runs the controller until SIGTERM.
///
/// # Errors
/// [`RunError`] if it cannot start, or its disk fails.
pub fn run(settings: Settings) -> Result<(), RunError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(RunError::Runtime)?;
    LocalSet::new().block_on(&runtime, run_local(settings))
}

async fn run_local(settings: Settings) -> Result<(), RunError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(RunError::Runtime)?;
    let mut reload = signal(SignalKind::hangup()).map_err(RunError::Runtime)?;
    let admin = settings
        .listeners_map
        .admin
        .ok_or(RunError::Setting("listeners_map.admin"))?;
    let (admin, internal) = (listen_at(admin)?, listen_at(internal_address(&settings))?);
    let log: ReplicaHandle<ControlState> = start(replica_settings(&settings)?)?;
    let node = NodeId::from(settings.node_id.as_str());
    let controller = Controller::new(node, settings.fault_tolerance.nodes, log.clone());
    let (ending, ended) = watch::channel(false);
    start_tasks(
        &controller,
        Listeners { admin, internal },
        settings.heartbeat(),
        ended,
    );
    tracing::info!(node = %settings.node_id, "controller started");
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            () = log.ended() => return Err(RunError::ChainEnded),
            _ = reload.recv() => take_over_seeds(&log).await,
        }
    }
    end(&controller, &log, &ending).await;
    Ok(())
}

/// Answers what is under way, and leaves the chain so that it goes on at once.
async fn end(
    controller: &Rc<Controller<ReplicaHandle<ControlState>>>,
    log: &ReplicaHandle<ControlState>,
    ending: &watch::Sender<bool>,
) {
    ending.send_replace(true);
    tokio::time::sleep(LAST_ANSWERS).await;
    let left = tokio::time::timeout(LEAVING, log.leave()).await.is_ok();
    tracing::info!(node = %controller.node, left, "controller ends");
}

async fn take_over_seeds(log: &ReplicaHandle<ControlState>) {
    match Settings::load() {
        Ok(settings) => log.set_seeds(seeds(&settings)).await,
        Err(error) => tracing::warn!(%error, "settings stay as they were"),
    }
}

fn replica_settings(settings: &Settings) -> Result<ReplicaSettings, RunError> {
    Ok(ReplicaSettings {
        node: NodeId::from(settings.node_id.as_str()),
        address: internal_address(settings),
        folder: settings
            .data_path
            .clone()
            .ok_or(RunError::Setting("data_path"))?,
        seeds: seeds(settings),
        bootstrap: settings.bootstrap,
        tolerated_faults: settings.fault_tolerance.nodes as usize,
    })
}

fn internal_address(settings: &Settings) -> SocketAddr {
    PortRange {
        first: settings.port_range.first,
    }
    .controller(settings.ip)
}

/// The seeds' machines at the controllers' internal port, which is the same on all machines.
fn seeds(settings: &Settings) -> Vec<SocketAddr> {
    PortRange {
        first: settings.port_range.first,
    }
    .controllers(&settings.seed_nodes)
}

fn listen_at(address: SocketAddr) -> Result<TcpListener, RunError> {
    listen(address).map_err(|source| RunError::Listen { address, source })
}
