//! The state folder (`PROXY_STATE`) of a process that starts from it: checked and opened while no other process holds
//! its lock.

use std::io;
use std::net::{SocketAddr, TcpListener};

use async_io::Async;
use plankhill_event_log::{EventLog, OpenError, PendingEvent};
use plankhill_forwarder_config::ForwarderConfig;
use plankhill_hot_restart::StateLock;

use crate::disabled_targets::{DisabledTargetStore, DisabledTargetsError};
use crate::discovery::stored_list::{self, StoredListError};

/// Connections that wait to be accepted: several times what clients open in a burst.
const LISTEN_BACKLOG: i32 = 1024;
/// Names the forwarder that the folder belongs to: its pending events name destinations of that forwarder's deployment
/// alone.
const OWNER_FILE: &str = "owner";
const NEW_OWNER_FILE: &str = "owner.new";

/// Why a process cannot start from the folder; each names the key that is to be changed.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The folder is another forwarder's.
    #[error("PROXY_STATE: {path}: the folder is {owner:?}'s, and PROXY_NAME is {name:?}")]
    ForeignFolder {
        /// The owner file.
        path: String,
        /// The folder's owner.
        owner: String,
        /// This forwarder.
        name: String,
    },
    /// The owner file cannot be read.
    #[error("PROXY_STATE: {path}: cannot be read: {error}")]
    OwnerUnreadable {
        /// The owner file.
        path: String,
        /// The system's error.
        error: io::Error,
    },
    /// The record of disabled targets is of no use.
    #[error(transparent)]
    DisabledTargets(#[from] DisabledTargetsError),
    /// The stored endpoint list is of no use.
    #[error(transparent)]
    StoredList(#[from] StoredListError),
    /// The event log is of no use.
    #[error("PROXY_STATE: the ledger in {folder}: {error}")]
    EventLog {
        /// The state folder.
        folder: String,
        /// The system's error, or what is wrong with the file.
        error: OpenError,
    },
    /// The address cannot be listened on.
    #[error("{key}: {address} cannot be listened on: {error}")]
    Bind {
        /// The key that names the address.
        key: &'static str,
        /// The address.
        address: SocketAddr,
        /// The system's error.
        error: io::Error,
    },
    /// The listener's backlog cannot be set.
    #[error("PROXY_LISTEN: {0}")]
    Backlog(io::Error),
}

/// Listens at the address that the key names.
///
/// # Errors
/// The address is in use or not this machine's.
pub fn bind(key: &'static str, address: SocketAddr) -> Result<Async<TcpListener>, StartError> {
    Async::<TcpListener>::bind(address).map_err(|error| StartError::Bind {
        key,
        address,
        error,
    })
}

/// Checks that the folder is that of the forwarder of our name, or nobody's yet. An empty owner file is none: a machine
/// that failed may leave it.
///
/// # Errors
/// The folder is another forwarder's, or the owner file cannot be read.
pub fn check_owner(config: &ForwarderConfig) -> Result<(), StartError> {
    let file = config.state_folder.join(OWNER_FILE);
    let path = || file.display().to_string();
    match std::fs::read_to_string(&file) {
        Ok(owner) if owner.is_empty() || owner == config.name => Ok(()),
        Ok(owner) => Err(StartError::ForeignFolder {
            path: path(),
            owner,
            name: config.name.clone(),
        }),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(()),
        Err(error) => Err(StartError::OwnerUnreadable {
            path: path(),
            error,
        }),
    }
}

/// Marks the folder as ours. Where the owner file cannot be written the folder stays nobody's, as before.
fn write_owner(config: &ForwarderConfig) {
    let path = config.state_folder.join(OWNER_FILE);
    let new = config.state_folder.join(NEW_OWNER_FILE);
    if std::fs::read(&path).is_ok_and(|owner| owner == config.name.as_bytes()) {
        return;
    }
    let written = std::fs::write(&new, &config.name).and_then(|()| std::fs::rename(&new, &path));
    if written.is_err() {
        let _ = std::fs::remove_file(&new);
    }
}

/// What a process starts with that opened the folder itself.
pub struct OpenedState {
    /// None where the folder cannot be locked, or is not to be.
    pub lock: Option<StateLock>,
    pub event_log: EventLog,
    pub pending: Vec<PendingEvent>,
    pub disabled_targets: DisabledTargetStore,
    pub listener: Async<TcpListener>,
}

impl OpenedState {
    /// Opens the folder and the clients' listener.
    ///
    /// # Errors
    /// The folder is another forwarder's, one of its files is of no use, or the address cannot be listened on.
    pub fn open(config: &ForwarderConfig, lock: Option<StateLock>) -> Result<Self, StartError> {
        check_owner(config)?;
        // The event log comes last, as opening it truncates a torn end: whatever else is faulty leaves the folder as it
        // is.
        let disabled_targets =
            DisabledTargetStore::open(&config.state_folder, config.max_disk_bytes)?;
        stored_list::check(&config.state_folder)?;
        let listener = bind("PROXY_LISTEN", config.listen_address)?;
        let (event_log, pending) = EventLog::open(&config.state_folder, config.max_disk_bytes)
            .map_err(|error| StartError::EventLog {
                folder: config.state_folder.display().to_string(),
                error,
            })?;
        // The library's backlog of 128 would overflow when many connect at once, and all others wait a second.
        rustix::net::listen(&listener, LISTEN_BACKLOG)
            .map_err(|error| StartError::Backlog(error.into()))?;
        write_owner(config);
        Ok(OpenedState {
            lock,
            event_log,
            pending,
            disabled_targets,
            listener,
        })
    }
}

/// Where a listener listens; the configured address if the system does not say.
pub fn local_address(listener: &Async<TcpListener>, configured: SocketAddr) -> SocketAddr {
    listener.get_ref().local_addr().unwrap_or(configured)
}
