//! The data folder of a member: a database, and a marker file that exists once the first sync has
//! completed.
//!
//! A folder without that file, or with a database that is corrupted, counts as empty: the member
//! starts as a new incarnation, which joins the chain only after it has caught up.

use std::fs::{self, File};
use std::io;
use std::net::SocketAddr;
use std::path::Path;

use plankhill_chain::{DurableState, Storage, Write};
use plankhill_protocol::ids::Incarnation;

use super::error::StorageError;
use super::fjall::FjallStorage;

/// Name of the database folder.
const DATABASE: &str = "chain";
/// Name of the marker file, which is created and synced once the incarnation is in the database.
const READY_FILE: &str = "chain-ready";

/// An open data folder.
pub struct OpenedFolder {
    /// The storage, which accepts further writes.
    pub storage: FjallStorage,
    /// The durable state found in the storage; its incarnation is set.
    pub durable: DurableState,
}

/// Opens a folder. An empty folder gets the incarnation `new_incarnation`, and `founders` if the
/// member may create the first view.
///
/// # Errors
/// [`StorageError`] if a database cannot be created, or an existing one cannot be read for a
/// transient cause.
pub fn open_folder(
    folder: &Path,
    new_incarnation: Incarnation,
    founders: Option<Vec<SocketAddr>>,
) -> Result<OpenedFolder, StorageError> {
    if !folder.join(READY_FILE).exists() {
        return create(folder, new_incarnation, founders);
    }
    match open_existing(&folder.join(DATABASE)) {
        Ok(Some(opened)) => return Ok(opened),
        Ok(None) => {
            tracing::error!("database has no incarnation; starting with an empty disk");
        }
        Err(error) if error.is_transient() => return Err(error),
        Err(error) => {
            tracing::error!(%error, "database is unreadable; starting with an empty disk");
        }
    }
    // A member that lost its disk must not create the first view: a view may exist already.
    create(folder, new_incarnation, None)
}

fn open_existing(folder: &Path) -> Result<Option<OpenedFolder>, StorageError> {
    let mut storage = FjallStorage::open(folder)?;
    let durable = storage.load()?;
    let has_incarnation = durable.incarnation.is_some();
    Ok(has_incarnation.then_some(OpenedFolder { storage, durable }))
}

/// Replaces the content of the folder by a new database. The marker file is created last, so that a
/// crash before that leaves a folder that counts as empty.
fn create(
    folder: &Path,
    incarnation: Incarnation,
    founders: Option<Vec<SocketAddr>>,
) -> Result<OpenedFolder, StorageError> {
    clear(folder).map_err(|error| StorageError::folder(folder, error))?;
    let mut storage = FjallStorage::open(&folder.join(DATABASE))?;
    let mut writes = vec![Write::Incarnation(incarnation)];
    if let Some(founders) = founders {
        writes.push(Write::Founders(founders));
    }
    storage.write(&writes)?;
    create_ready_file(folder).map_err(|error| StorageError::folder(folder, error))?;
    let durable = storage.load()?;
    Ok(OpenedFolder { storage, durable })
}

fn clear(folder: &Path) -> io::Result<()> {
    fs::create_dir_all(folder)?;
    ignore_missing(fs::remove_file(folder.join(READY_FILE)))?;
    File::open(folder)?.sync_all()?;
    ignore_missing(fs::remove_dir_all(folder.join(DATABASE)))
}

fn create_ready_file(folder: &Path) -> io::Result<()> {
    File::create(folder.join(READY_FILE))?.sync_all()?;
    File::open(folder)?.sync_all()
}

fn ignore_missing(removed: io::Result<()>) -> io::Result<()> {
    match removed {
        Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
        _ => Ok(()),
    }
}
