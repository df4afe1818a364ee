//! Starts the controller process, reloads its settings on SIGHUP and shuts it down on SIGTERM.

use std::io;
use std::net::SocketAddr;
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

use crate::controller::Controller;
use crate::tasks::{start_tasks, Listeners};

/// Time for leaving the chain at a graceful shutdown; the platform grants several seconds.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time for the responses in flight at a graceful shutdown: they wait for an outcome for less than a second.
const RESPONSE_GRACE: Duration = Duration::from_millis(1_000);

/// Why the controller could not run.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The settings lack a key that a controller needs.
    #[error("settings: {0} is needed by a controller")]
    MissingSetting(&'static str),
    /// The runtime or its signal handlers cannot be set up.
    #[error("runtime: {0}")]
    Runtime(#[source] io::Error),
    /// An address cannot be listened at.
    #[error("cannot listen at {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// The replica of the chain cannot start.
    #[error(transparent)]
    Replica(#[from] StartError),
    /// The replica of the chain ended by itself, as it does when its disk fails.
    #[error("the disk failed")]
    ReplicaEnded,
}

/// Runs the controller until SIGTERM.
///
/// # Errors
/// [`RunError`] if the controller cannot start, or its disk fails.
pub fn run(settings: Settings) -> Result<(), RunError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(RunError::Runtime)?;
    LocalSet::new().block_on(&runtime, run_local(settings))
}

async fn run_local(settings: Settings) -> Result<(), RunError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(RunError::Runtime)?;
    let mut hang_up = signal(SignalKind::hangup()).map_err(RunError::Runtime)?;
    let listeners = bind_listeners(&settings)?;
    let replica: ReplicaHandle<ControlState> = start(replica_settings(&settings)?)?;
    let node = NodeId::from(settings.node_id.as_str());
    let controller = Controller::new(node, settings.fault_tolerance.nodes, replica.clone());
    let (shut_down, shutting_down) = watch::channel(false);
    start_tasks(&controller, listeners, settings.heartbeat(), shutting_down);
    tracing::info!(node = %settings.node_id, "controller started");
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            () = replica.ended() => return Err(RunError::ReplicaEnded),
            _ = hang_up.recv() => reload_seeds(&replica).await,
        }
    }
    shut_down.send_replace(true);
    end_gracefully(controller.node(), &replica).await;
    Ok(())
}

/// Waits for the responses in flight, then leaves the chain, so that the others go on at once in place of waiting until
/// they miss this replica.
async fn end_gracefully(node: &NodeId, replica: &ReplicaHandle<ControlState>) {
    tokio::time::sleep(RESPONSE_GRACE).await;
    let has_left_chain = tokio::time::timeout(LEAVE_TIMEOUT, replica.leave())
        .await
        .is_ok();
    tracing::info!(%node, has_left_chain, "controller stopped");
}

/// Takes the seeds from the changed settings. Every other setting stays as it was at the start.
async fn reload_seeds(replica: &ReplicaHandle<ControlState>) {
    match Settings::load() {
        Ok(settings) => replica.set_seeds(seed_addresses(&settings)).await,
        Err(error) => tracing::warn!(%error, "settings reload failed; current settings kept"),
    }
}

fn bind_listeners(settings: &Settings) -> Result<Listeners, RunError> {
    let admin = settings
        .listeners_map
        .admin
        .ok_or(RunError::MissingSetting("listeners_map.admin"))?;
    Ok(Listeners {
        admin: listen_at(admin)?,
        internal: listen_at(internal_address(settings))?,
    })
}

fn listen_at(address: SocketAddr) -> Result<TcpListener, RunError> {
    listen(address).map_err(|error| RunError::Listen {
        address,
        source: error.source,
    })
}

fn replica_settings(settings: &Settings) -> Result<ReplicaSettings, RunError> {
    Ok(ReplicaSettings {
        node: NodeId::from(settings.node_id.as_str()),
        address: internal_address(settings),
        folder: settings
            .data_path
            .clone()
            .ok_or(RunError::MissingSetting("data_path"))?,
        seeds: seed_addresses(settings),
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

/// The internal addresses of the seeds' controllers; their port is the same on all machines.
fn seed_addresses(settings: &Settings) -> Vec<SocketAddr> {
    PortRange {
        first: settings.port_range.first,
    }
    .controllers(&settings.seed_nodes)
}
