//! The process that runs a node: state folder, listener, signals and shutdown.

use std::future::Future;
use std::hash::{BuildHasher, RandomState};
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use plankhill_protocol::ids::{Incarnation, NodeId, ZoneName};
use plankhill_protocol::tables::StoreMember;
use plankhill_protocol::transport::{listen, serve_calls, Channel, Hello, ListenError};
use plankhill_settings::{run_on_current_thread, Settings};
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};

use crate::clock::SystemClock;
use crate::control_plane::follow_control_plane;
use crate::limits::{Limits, CALL_TIMEOUT};
use crate::node::{Node, NodeParts};
use crate::peers::TcpPeers;
use crate::storage::{open_state_folder, FjallStorage, StorageError};

/// Interval at which the process checks whether its disk has failed.
const STORAGE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Why the process ended.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The settings have no `data_path`.
    #[error("settings: data_path is missing")]
    NoDataPath,
    /// The runtime or a signal handler could not be created.
    #[error("start: {0}")]
    Start(#[from] io::Error),
    /// The store cannot listen at its address.
    #[error("start: {0}")]
    Listen(#[from] ListenError),
    /// The state folder could not be read.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// The disk failed while the store was serving.
    #[error("the disk failed; the next start reads what is on it")]
    DiskFailed,
}

type StoreNode = Node<TcpPeers, FjallStorage, SystemClock>;

/// Runs the store until SIGTERM or SIGINT.
///
/// # Errors
/// [`RunError`] when the store cannot start, or its disk fails.
pub fn run(settings: Settings) -> Result<(), RunError> {
    run_on_current_thread(serve(settings))?
}

async fn serve(settings: Settings) -> Result<(), RunError> {
    let terminated = termination_signal()?;
    let folder = settings.data_path.clone().ok_or(RunError::NoDataPath)?;
    let node = open_node(&settings, folder).await?;
    let listener = listen(settings.store_address())?;
    let identity = node.identity().clone();
    tracing::info!(
        node = %identity.node,
        incarnation = identity.incarnation.0,
        address = %identity.address,
        "store started"
    );
    let controllers = settings.seed_controllers();
    tokio::task::spawn_local(node.clone().run());
    tokio::task::spawn_local(follow_control_plane(node.clone(), controllers));
    let serving = tokio::task::spawn_local(serve_node(node.clone(), listener));
    tokio::select! {
        () = terminated => {
            serving.abort();
            // Calls in progress are still replied to.
            tokio::time::sleep(CALL_TIMEOUT).await;
            tracing::info!("store stopped");
            Ok(())
        }
        () = storage_failure(&node) => Err(RunError::DiskFailed),
    }
}

async fn open_node(settings: &Settings, folder: PathBuf) -> Result<Rc<StoreNode>, RunError> {
    let opened = open_state_folder(&folder, generate_incarnation()).await;
    let node = NodeId::from(settings.node_id.as_str());
    let identity = StoreMember {
        node: node.clone(),
        incarnation: opened.incarnation,
        address: settings.store_address(),
        zone: ZoneName::from(settings.zone.as_str()),
    };
    let parts = NodeParts {
        identity,
        limits: Limits::from_settings(settings),
        peers: TcpPeers::new(node),
        storage: opened.storage,
        clock: SystemClock::start(),
    };
    Ok(Node::load(parts)?)
}

async fn serve_node(node: Rc<StoreNode>, listener: TcpListener) {
    let hello = Hello::new(Channel::Store, node.identity().node.clone());
    serve_calls(listener, hello, move |_, request| {
        node.clone().handle_call(request)
    })
    .await;
}

async fn storage_failure(node: &StoreNode) {
    while !node.has_storage_failed() {
        tokio::time::sleep(STORAGE_CHECK_INTERVAL).await;
    }
}

/// Returns a future that completes on SIGTERM or SIGINT.
fn termination_signal() -> io::Result<impl Future<Output = ()>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    // The feed delivers the controllers' addresses, so a store has nothing to reload on SIGHUP; without a
    // handler the signal would terminate the process.
    let _reload = signal(SignalKind::hangup())?;
    Ok(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    })
}

/// Generates a number that no other incarnation of a disk has, from the system's random source, the time
/// of day and the process id.
fn generate_incarnation() -> Incarnation {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation(RandomState::new().hash_one((now.as_nanos(), std::process::id())))
}
