//! Starting a member.

use std::collections::hash_map::RandomState;
use std::collections::BTreeMap;
use std::hash::{BuildHasher, Hasher};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Instant;

use plankhill_chain::{BadSnapshot, ChainMember, Configuration, Identity, Member, Storage, Write};
use plankhill_protocol::ids::{Incarnation, NodeId};
use thiserror::Error;
use tokio::sync::{mpsc, watch};

use crate::handle::{Log, Standing};
use crate::links::Links;
use crate::machine::TypedMachine;
use crate::state::{CommittedState, ReplicatedState};
use crate::storage::{open_folder, start_writer, OpenedFolder, StorageError};
use crate::task::{Driver, Published, Waiting};

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
    pub tolerated: usize,
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
/// to be handed to [`Log::serve`].
///
/// # Errors
/// [`StartError`] when the disk cannot be used.
pub fn start<S: ReplicatedState>(settings: ReplicaSettings) -> Result<Log<S>, StartError> {
    let founders = settings.bootstrap.then(|| settings.seeds.clone());
    let founders = founders.filter(|founders| founders.contains(&settings.address));
    let OpenedFolder { mut storage, held } = open_folder(&settings.folder, Incarnation(random()), founders)?;
    // A disk that takes nothing any more is found before others rely on it.
    storage.write(&[Write::Committed(held.committed)])?;
    let incarnation = held.incarnation.unwrap_or(Incarnation(random()));
    let identity = Identity { node: settings.node, incarnation };
    let configuration = Configuration {
        member: Member { identity: identity.clone(), address: settings.address },
        tolerated: settings.tolerated,
        seeds: settings.seeds,
        random: random(),
    };
    let (report, written) = mpsc::unbounded_channel();
    let member = ChainMember::new(configuration, held, TypedMachine::new(), 0)?;
    let (disk, disk_open) = start_writer(storage, report)?;
    let (state, state_seen) = watch::channel(Arc::new(CommittedState::empty()));
    let (standing, standing_seen) = watch::channel(Standing::default());
    let (current, current_seen) = watch::channel(false);
    let (command_queue, commands) = mpsc::channel(COMMANDS);
    let (received, inbox) = mpsc::channel(INBOX);
    let driver = Driver {
        member,
        started: Instant::now(),
        links: Links::new(identity),
        inbox,
        commands,
        disk,
        written,
        published: Published { state, standing, current },
        waiting: Waiting {
            next: u128::from(random()) << 64 | u128::from(random()),
            proposals: BTreeMap::new(),
            reads: BTreeMap::new(),
            leaving: Vec::new(),
        },
    };
    let task = tokio::spawn(driver.run()).abort_handle();
    Ok(Log {
        task,
        disk_open,
        commands: command_queue,
        received,
        state: state_seen,
        standing: standing_seen,
        current: current_seen,
    })
}

/// A random number, from the keys that the standard library draws from the operating system.
fn random() -> u64 {
    RandomState::new().build_hasher().finish()
}
