//! Starting a member.

use std::collections::hash_map::RandomState;
use std::collections::BTreeMap;
use std::hash::{BuildHasher, Hasher};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use plankhill_chain::{BadSnapshot, ChainMember, Configuration, Identity, Member, Storage, Write};
use plankhill_disk_health::Backoff;
use plankhill_protocol::ids::{Incarnation, NodeId};
use thiserror::Error;
use tokio::sync::{mpsc, watch};

use crate::handle::{Command, ReplicaHandle, ReplicaStatus};
use crate::links::{Links, Received};
use crate::machine::TypedMachine;
use crate::state::{CommittedState, ReplicatedState};
use crate::storage::{open_folder, start_writer, OpenedFolder, StorageError};
use crate::task::{Driver, Published, Waiting, STARTED_AT};

/// Messages from other members that wait for the task.
const INBOX: usize = 512;
/// Commands of handles that wait for the task.
const COMMANDS: usize = 512;

/// What a member is told at its start.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// The machine.
    pub node: NodeId,
    /// Where this machine's controller listens for other processes of the tier.
    pub address: SocketAddr,
    /// The folder for its data; made if it is missing.
    pub folder: PathBuf,
    /// Where the seeds' controllers listen for other processes of the tier.
    pub seeds: Vec<SocketAddr>,
    /// The very first start of the whole system.
    pub bootstrap: bool,
    /// Losses to be borne at once.
    pub tolerated_faults: usize,
}

/// Why a member does not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The disk.
    #[error("storage: {0}")]
    Storage(#[from] StorageError),
    /// The snapshot on the disk is of another kind.
    #[error("storage: {0}")]
    Snapshot(#[from] BadSnapshot),
    /// No thread can be started.
    #[error("thread: {0}")]
    Thread(#[from] std::io::Error),
}

/// Opens the disk and starts the member as a task of the present runtime. The connections that others open are
/// to be handed to [`Log::serve`]. While the disk refuses to be opened, as a full one does, the handle answers that the
/// chain cannot be reached, and the disk is tried again.
///
/// # Errors
/// [`StartError`] when the disk cannot be used and waiting would not help.
pub fn start<S: ReplicatedState>(
    settings: ReplicaSettings,
) -> Result<ReplicaHandle<S>, StartError> {
    let (state, state_seen) = watch::channel(Arc::new(CommittedState::empty()));
    let (standing, standing_seen) = watch::channel(ReplicaStatus::default());
    let (current, current_seen) = watch::channel(false);
    let (command_queue, commands) = mpsc::channel(COMMANDS);
    let (received, inbox) = mpsc::channel(INBOX);
    let (disk_in_use, disk_open) = watch::channel(());
    let published = Published {
        state,
        standing,
        current,
    };
    let pending = Pending {
        settings,
        inbox,
        commands,
        published,
        disk_in_use,
    };
    let task = match open(&pending.settings) {
        Ok(opened) => tokio::spawn(pending.into_driver(opened)?.run()),
        Err(error) if error.may_pass() => tokio::spawn(wait_for_disk(pending, error)),
        Err(error) => return Err(error.into()),
    };
    Ok(ReplicaHandle {
        task: task.abort_handle(),
        disk_open,
        commands: command_queue,
        received,
        state: state_seen,
        standing: standing_seen,
        current: current_seen,
    })
}

/// A member whose disk is not open yet.
struct Pending<S: ReplicatedState> {
    settings: ReplicaSettings,
    inbox: mpsc::Receiver<Received>,
    commands: mpsc::Receiver<Command<S>>,
    published: Published<S>,
    /// Dropped when the disk is closed.
    disk_in_use: watch::Sender<()>,
}

impl<S: ReplicatedState> Pending<S> {
    fn into_driver(self, opened: OpenedFolder) -> Result<Driver<S>, StartError> {
        let OpenedFolder { storage, held } = opened;
        let settings = self.settings;
        let incarnation = held.incarnation.unwrap_or(Incarnation(random()));
        let identity = Identity {
            node: settings.node,
            incarnation,
        };
        let configuration = Configuration {
            member: Member {
                identity: identity.clone(),
                address: settings.address,
            },
            tolerated: settings.tolerated_faults,
            seeds: settings.seeds,
            random: random(),
        };
        let (report, written) = mpsc::unbounded_channel();
        let member = ChainMember::new(configuration, held, TypedMachine::new(), STARTED_AT)?;
        let disk = start_writer(storage, report, self.disk_in_use, Backoff::default())?;
        Ok(Driver {
            member,
            started: Instant::now(),
            links: Links::new(identity),
            inbox: self.inbox,
            commands: self.commands,
            disk,
            written,
            published: self.published,
            waiting: Waiting {
                next: u128::from(random()) << 64 | u128::from(random()),
                proposals: BTreeMap::new(),
                reads: BTreeMap::new(),
                leaving: Vec::new(),
            },
        })
    }

    /// Leaves everything unanswered until the pause is over; false if nobody holds a handle any more.
    async fn pause(&mut self, pause: Duration) -> bool {
        let over = tokio::time::sleep(pause);
        tokio::pin!(over);
        loop {
            tokio::select! {
                () = &mut over => return true,
                // Dropped without an answer: the chain cannot be reached.
                command = self.commands.recv() => match command {
                    Some(Command::SetSeeds(seeds)) => self.settings.seeds = seeds,
                    Some(_) => {}
                    None => return false,
                },
                Some(_) = self.inbox.recv() => {}
            }
        }
    }
}

/// Tries to open the disk again and again, and runs the member then.
async fn wait_for_disk<S: ReplicatedState>(mut pending: Pending<S>, mut error: StorageError) {
    let mut pauses = Backoff::default();
    while error.may_pass() {
        tracing::warn!(%error, "the disk cannot be opened");
        if !pending.pause(pauses.next_delay()).await {
            return;
        }
        error = match open(&pending.settings) {
            Ok(opened) => {
                tracing::info!("the disk is open");
                match pending.into_driver(opened) {
                    Ok(driver) => driver.run().await,
                    Err(error) => tracing::error!(%error, "the member cannot start"),
                }
                return;
            }
            Err(error) => error,
        };
    }
    tracing::error!(%error, "the disk is of no use");
}

fn open(settings: &ReplicaSettings) -> Result<OpenedFolder, StorageError> {
    let founders = settings.bootstrap.then(|| settings.seeds.clone());
    let founders = founders.filter(|founders| founders.contains(&settings.address));
    let mut opened = open_folder(&settings.folder, Incarnation(random()), founders)?;
    // A disk that takes nothing any more is found before others rely on it.
    opened
        .storage
        .write(&[Write::Committed(opened.held.committed)])?;
    Ok(opened)
}

/// A random number, from the keys that the standard library draws from the operating system.
fn random() -> u64 {
    RandomState::new().build_hasher().finish()
}
