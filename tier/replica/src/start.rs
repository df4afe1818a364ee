//! Starts a replica: opens the disk, spawns the task and returns the handle.

use plankhill_chain::{
    BadSnapshot, ChainMember, DurableState, Identity, Member, MemberConfig, Storage, Write,
};
use plankhill_disk_health::Backoff;
use plankhill_protocol::ids::Incarnation;
use thiserror::Error;

use crate::channels::{channels, TaskEnds};
use crate::clock::STARTED_AT;
use crate::committed_state::ReplicatedState;
use crate::disk_wait::wait_for_disk;
use crate::driver::Driver;
use crate::handle::ReplicaHandle;
use crate::peer_connections::PeerConnections;
use crate::random::random_u64;
use crate::settings::ReplicaSettings;
use crate::storage::{open_folder, start_writer, OpenedFolder, StorageError};
use crate::typed_machine::TypedMachine;

/// The reason why a replica cannot start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The disk cannot be used.
    #[error("storage: {0}")]
    Storage(#[from] StorageError),
    /// The snapshot on the disk cannot be decoded.
    #[error("storage: {0}")]
    Snapshot(#[from] BadSnapshot),
    /// The thread of the disk writer cannot be spawned.
    #[error("thread: {0}")]
    Thread(#[from] std::io::Error),
}

/// Opens the disk and spawns the replica as a task of the current runtime. The caller has to pass the
/// connections that other members open to [`ReplicaHandle::serve`]. While the disk cannot be opened
/// for a transient cause, for example because it is full, calls fail with [`crate::Unavailable`] and
/// opening is retried.
///
/// # Errors
/// [`StartError`] if the disk cannot be used for a permanent cause.
///
/// # Panics
/// If called outside of a `tokio` runtime.
pub fn start<S: ReplicatedState>(
    settings: ReplicaSettings,
) -> Result<ReplicaHandle<S>, StartError> {
    let (task_ends, handle_ends) = channels();
    let task = match open_disk(&settings) {
        Ok(opened) => tokio::spawn(new_driver(settings, opened, task_ends)?.run()),
        Err(error) if error.is_transient() => {
            tokio::spawn(wait_for_disk(settings, task_ends, error))
        }
        Err(error) => return Err(error.into()),
    };
    Ok(ReplicaHandle::new(handle_ends, task.abort_handle()))
}

/// Creates the task of a replica whose disk is open.
pub(crate) fn new_driver<S: ReplicatedState>(
    settings: ReplicaSettings,
    opened: OpenedFolder,
    ends: TaskEnds<S>,
) -> Result<Driver<S>, StartError> {
    let OpenedFolder { storage, durable } = opened;
    let incarnation = durable.incarnation.unwrap_or(Incarnation(random_u64()));
    let identity = Identity {
        node: settings.node,
        incarnation,
    };
    let config = MemberConfig {
        member: Member {
            identity: identity.clone(),
            address: settings.address,
        },
        tolerated_faults: settings.tolerated_faults,
        seeds: settings.seeds,
        random_seed: random_u64(),
    };
    let member = ChainMember::new(config, durable, TypedMachine::new(), STARTED_AT)?;
    let disk = start_writer(storage, ends.disk_in_use, Backoff::default())?;
    Ok(Driver::new(
        member,
        PeerConnections::new(identity),
        disk,
        ends.inbox,
        ends.commands,
        ends.published,
    ))
}

/// Opens the folder and performs one write, so that a disk that rejects writes is detected before
/// other members rely on it.
pub(crate) fn open_disk(settings: &ReplicaSettings) -> Result<OpenedFolder, StorageError> {
    let new_incarnation = Incarnation(random_u64());
    let mut opened = open_folder(&settings.folder, new_incarnation, settings.founders())?;
    check_owner(settings, &opened.durable)?;
    let committed = opened.durable.committed;
    opened.storage.write(&[Write::Committed(committed)])?;
    Ok(opened)
}

/// Rejects the disk of another node, because its votes would count under the name of this node. The
/// newest view on the disk names the node that joined with this incarnation; a disk that never joined
/// a view has no known owner and is accepted.
fn check_owner(settings: &ReplicaSettings, durable: &DurableState) -> Result<(), StorageError> {
    let mut voters = durable.view.voters.iter();
    let owner = voters.find(|voter| Some(voter.identity.incarnation) == durable.incarnation);
    match owner {
        Some(owner) if owner.identity.node != settings.node => Err(StorageError::OtherNode {
            path: settings.folder.clone(),
            owner: owner.identity.node.clone(),
        }),
        _ => Ok(()),
    }
}
