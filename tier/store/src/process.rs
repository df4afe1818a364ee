//! The process around a store.

use std::future::Future;
use std::hash::{BuildHasher, RandomState};
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use plankhill_protocol::ids::{Incarnation, NodeId, ZoneName};
use plankhill_protocol::ports::PortRange;
use plankhill_protocol::tables::StoreMember;
use plankhill_protocol::transport::{listen, serve_calls, Channel, Hello};
use plankhill_settings::Settings;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::LocalSet;

use crate::clock::SystemClock;
use crate::disk::{open_folder, DiskError, FjallDisk};
use crate::figures::{Figures, CALL_TIMEOUT};
use crate::link::follow;
use crate::node::{Node, Parts};
use crate::peers::TcpPeers;

/// How often a failed disk is looked for.
const DISK_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Why the process ended.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The settings name no folder for data.
    #[error("settings: data_path is missing")]
    NoDataPath,
    /// The operating system refused something at the start.
    #[error("start: {0}")]
    Start(#[from] io::Error),
    /// The disk.
    #[error(transparent)]
    Disk(#[from] DiskError),
    /// The disk failed while the store was serving.
    #[error("the disk failed; starting anew reads what it holds")]
    DiskFailed,
}

type StoreNode = Node<TcpPeers, FjallDisk, SystemClock>;

/// Runs the store until it is told to end.
///
/// # Errors
/// As [`RunError`] says.
pub fn run(settings: Settings) -> Result<(), RunError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, serve(settings))
}

async fn serve(settings: Settings) -> Result<(), RunError> {
    let ended = termination()?;
    let folder = settings.data_path.clone().ok_or(RunError::NoDataPath)?;
    let ports = PortRange {
        first: settings.port_range.first,
    };
    let node = open(&settings, ports, folder).await?;
    let listener = listen(ports.store(settings.ip)).map_err(|error| error.source)?;
    let me = node.me().clone();
    tracing::info!(node = %me.node, incarnation = me.incarnation.0, address = %me.address, "store started");
    let controllers = ports.controllers(&settings.seed_nodes);
    tokio::task::spawn_local(node.clone().run());
    tokio::task::spawn_local(follow(node.clone(), controllers));
    let serving = tokio::task::spawn_local(answer_calls(node.clone(), listener));
    tokio::select! {
        () = ended => {
            serving.abort();
            // Calls that are under way get their answers.
            tokio::time::sleep(CALL_TIMEOUT).await;
            tracing::info!("store ended");
            Ok(())
        }
        () = disk_failure(&node) => Err(RunError::DiskFailed),
    }
}

async fn open(
    settings: &Settings,
    ports: PortRange,
    folder: PathBuf,
) -> Result<Rc<StoreNode>, RunError> {
    let opened = open_folder(&folder, draw_incarnation()).await;
    let node = NodeId::from(settings.node_id.as_str());
    let me = StoreMember {
        node: node.clone(),
        incarnation: opened.incarnation,
        address: ports.store(settings.ip),
        zone: ZoneName::from(settings.zone.as_str()),
    };
    let parts = Parts {
        me,
        figures: Figures::of(settings),
        peers: TcpPeers::new(node),
        disk: opened.disk,
        clock: SystemClock::start(),
    };
    Ok(Node::load(parts)?)
}

async fn answer_calls(node: Rc<StoreNode>, listener: TcpListener) {
    let hello = Hello::new(Channel::Store, node.me().node.clone());
    serve_calls(listener, hello, move |_, request| {
        node.clone().answer(request)
    })
    .await;
}

async fn disk_failure(node: &StoreNode) {
    while !node.disk_failed() {
        tokio::time::sleep(DISK_CHECK_INTERVAL).await;
    }
}

/// Ends when the process is told to end.
fn termination() -> io::Result<impl Future<Output = ()>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    // Other seeds come with the feed: without a handler the signal would end the process.
    let _reload = signal(SignalKind::hangup())?;
    Ok(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    })
}

/// A number that no other life of a disk has: from the system's random source and the time of day.
fn draw_incarnation() -> Incarnation {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation(RandomState::new().hash_one((now.as_nanos(), std::process::id())))
}
