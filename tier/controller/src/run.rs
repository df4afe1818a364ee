//! Starts the controller process, reloads its settings on SIGHUP and shuts it down on SIGTERM.

use std::io;
use std::time::Duration;

use plankhill_control::ControlState;
use plankhill_protocol::ids::NodeId;
use plankhill_protocol::transport::{listen, ListenError};
use plankhill_replica::{start, ReplicaHandle, ReplicaSettings, StartError};
use plankhill_settings::{run_on_current_thread, ProcessSignal, ProcessSignals, Settings};
use tokio::sync::watch;

use crate::controller::Controller;
use crate::tasks::{start_tasks, Listeners};

/// Timeout for leaving the chain during a graceful shutdown; the platform allows several seconds
/// for the shutdown.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time allowed for the responses in flight during a graceful shutdown. Each waits less than a
/// second for the outcome of its operation.
const RESPONSE_GRACE: Duration = Duration::from_millis(1_000);

/// An error that prevents the controller from running.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The settings lack a key that a controller requires.
    #[error("settings: {0} is required for a controller")]
    MissingSetting(&'static str),
    /// The runtime or its signal handlers could not be set up.
    #[error("runtime: {0}")]
    Runtime(#[source] io::Error),
    /// A listener could not be bound to its address.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The chain replica could not start.
    #[error(transparent)]
    Replica(#[from] StartError),
    /// The chain replica stopped on its own, which happens when its disk fails.
    #[error("the disk failed")]
    ReplicaEnded,
}

/// Runs the controller until SIGTERM.
///
/// # Errors
/// [`RunError`] if the controller cannot start or its disk fails.
pub fn run(settings: Settings) -> Result<(), RunError> {
    run_on_current_thread(run_local(settings)).map_err(RunError::Runtime)?
}

async fn run_local(settings: Settings) -> Result<(), RunError> {
    let mut signals = ProcessSignals::new().map_err(RunError::Runtime)?;
    let listeners = bind_listeners(&settings)?;
    let replica: ReplicaHandle<ControlState> = start(replica_settings(&settings)?)?;
    let node = NodeId::from(settings.node_id.as_str());
    let controller = Controller::new(node, settings.fault_tolerance.nodes, replica.clone());
    let (shut_down, shutting_down) = watch::channel(false);
    start_tasks(&controller, listeners, settings.heartbeat(), shutting_down);
    tracing::info!(node = %settings.node_id, "controller started");
    loop {
        tokio::select! {
            signal = signals.next() => match signal {
                ProcessSignal::Terminate => break,
                ProcessSignal::ReloadSettings => reload_seeds(&replica).await,
            },
            () = replica.ended() => return Err(RunError::ReplicaEnded),
        }
    }
    shut_down.send_replace(true);
    shut_down_gracefully(controller.node(), &replica).await;
    Ok(())
}

/// Waits for the responses in flight, then leaves the chain, so that the other replicas reconfigure
/// immediately instead of first detecting this replica's absence.
async fn shut_down_gracefully(node: &NodeId, replica: &ReplicaHandle<ControlState>) {
    tokio::time::sleep(RESPONSE_GRACE).await;
    let has_left_chain = tokio::time::timeout(LEAVE_TIMEOUT, replica.leave())
        .await
        .is_ok();
    tracing::info!(%node, has_left_chain, "controller stopped");
}

/// Applies the seeds of the reloaded settings. All other settings keep their values from process
/// start.
async fn reload_seeds(replica: &ReplicaHandle<ControlState>) {
    if let Some(settings) = Settings::reload() {
        replica.set_seeds(settings.seed_controllers()).await;
    }
}

fn bind_listeners(settings: &Settings) -> Result<Listeners, RunError> {
    let admin = settings
        .listeners_map
        .admin
        .ok_or(RunError::MissingSetting("listeners_map.admin"))?;
    Ok(Listeners {
        admin: listen(admin)?,
        internal: listen(settings.controller_bind_address())?,
    })
}

fn replica_settings(settings: &Settings) -> Result<ReplicaSettings, RunError> {
    Ok(ReplicaSettings {
        node: NodeId::from(settings.node_id.as_str()),
        address: settings.controller_address(),
        folder: settings
            .data_path
            .clone()
            .ok_or(RunError::MissingSetting("data_path"))?,
        seeds: settings.seed_controllers(),
        bootstrap: settings.bootstrap,
        tolerated_faults: settings.fault_tolerance.nodes as usize,
    })
}
