//! The state folder (`PROXY_STATE`) of a process that starts from it: checked and opened while no
//! other process holds the folder's lock.

use std::io;
use std::net::{SocketAddr, TcpListener};

use async_io::Async;
use plankhill_event_log::{EventLog, OpenError, PendingEvent};
use plankhill_forwarder_config::ForwarderConfig;
use plankhill_hot_restart::StateLock;

use crate::disabled_targets::{DisabledTargetStore, DisabledTargetsError};
use crate::discovery::stored_list::{self, StoredListError};

/// Length of the accept queue: several times the connections that clients open in a burst.
const LISTEN_BACKLOG: i32 = 1024;
/// File with the name of the forwarder that owns the folder: the pending events refer to
/// destinations that exist only in that forwarder's deployment.
const OWNER_FILE: &str = "owner";
const NEW_OWNER_FILE: &str = "owner.new";

/// Why a process cannot start from the folder; each message names the key to change.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The folder belongs to another forwarder.
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
    /// The record of disabled targets cannot be used.
    #[error(transparent)]
    DisabledTargets(#[from] DisabledTargetsError),
    /// The stored endpoint list cannot be used.
    #[error(transparent)]
    StoredList(#[from] StoredListError),
    /// The event log cannot be used.
    #[error("PROXY_STATE: the event log (file ledger) in {folder}: {error}")]
    EventLog {
        /// The state folder.
        folder: String,
        /// The system's error, or the fault in the file.
        error: OpenError,
    },
    /// The process cannot listen on the address.
    #[error("{key}: cannot listen on {address}: {error}")]
    Bind {
        /// The key that names the address.
        key: &'static str,
        /// The address.
        address: SocketAddr,
        /// The system's error.
        error: io::Error,
    },
    /// The listener's backlog cannot be set.
    #[error("PROXY_LISTEN: cannot set the backlog: {0}")]
    Backlog(io::Error),
}

/// Listens on the address, which the key configures.
///
/// # Errors
/// The address is in use, or not an address of this machine.
pub fn bind(key: &'static str, address: SocketAddr) -> Result<Async<TcpListener>, StartError> {
    Async::<TcpListener>::bind(address).map_err(|error| StartError::Bind {
        key,
        address,
        error,
    })
}

/// Checks that the folder belongs to this forwarder or has no owner yet. An empty owner file counts
/// as none: it may be left after a machine failure.
///
/// # Errors
/// The folder belongs to another forwarder, or the owner file cannot be read.
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

/// Records this forwarder as the folder's owner. If the owner file cannot be written, it stays
/// unchanged.
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

/// State of a process that opened the folder itself, without a predecessor.
pub struct OpenedState {
    /// `None` if the folder cannot be locked, or is not to be locked.
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
    /// The folder belongs to another forwarder, one of its files cannot be used, or the process
    /// cannot listen on the address.
    pub fn open(config: &ForwarderConfig, lock: Option<StateLock>) -> Result<Self, StartError> {
        check_owner(config)?;
        // The event log is opened last, since opening truncates an incomplete record at its end: a
        // fault found earlier leaves the folder unchanged.
        let disabled_targets =
            DisabledTargetStore::open(&config.state_folder, config.max_disk_bytes)?;
        stored_list::check(&config.state_folder)?;
        let listener = bind("PROXY_LISTEN", config.listen_address)?;
        let (event_log, pending) = EventLog::open(&config.state_folder, config.max_disk_bytes)
            .map_err(|error| StartError::EventLog {
                folder: config.state_folder.display().to_string(),
                error,
            })?;
        // The library's default backlog of 128 would overflow when many clients connect at once,
        // and the remaining clients would wait a second.
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

/// Address that a listener is bound to; the configured address if the system does not report one.
pub fn local_address(listener: &Async<TcpListener>, configured: SocketAddr) -> SocketAddr {
    listener.get_ref().local_addr().unwrap_or(configured)
}
