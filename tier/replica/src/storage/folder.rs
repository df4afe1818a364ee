//! The folder of a member: a database, and a file that exists once the first sync is over.
//!
//! A folder without that file, or with a database that cannot be read, counts as empty: the member
//! starts as a new incarnation, which takes part only after it has everything.

use std::fs::{self, File};
use std::io;
use std::net::SocketAddr;
use std::path::Path;

use plankhill_chain::{DurableState, Storage, Write};
use plankhill_protocol::ids::Incarnation;

use super::error::StorageError;
use super::fjall::FjallStorage;

/// Folder of the database.
const DATABASE: &str = "chain";
/// Made and synced once the incarnation is in the database.
const READY_FILE: &str = "chain-ready";

/// A folder that is open.
pub struct OpenedFolder {
    /// Where changes go.
    pub storage: FjallStorage,
    /// What has been written there; the incarnation is set.
    pub durable: DurableState,
}

/// Opens a folder. An empty one gets the incarnation `fresh`, and `founders` where the member may
/// found the first view.
///
/// # Errors
/// [`StorageError`] when nothing can be made there, or what is there cannot be read for a cause
/// that may pass.
pub fn open_folder(
    folder: &Path,
    fresh: Incarnation,
    founders: Option<Vec<SocketAddr>>,
) -> Result<OpenedFolder, StorageError> {
    if !folder.join(READY_FILE).exists() {
        return create(folder, fresh, founders);
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
    // A lost disk founds nothing: a view may exist by now.
    create(folder, fresh, None)
}

fn open_existing(folder: &Path) -> Result<Option<OpenedFolder>, StorageError> {
    let mut storage = FjallStorage::open(folder)?;
    let durable = storage.load()?;
    let has_incarnation = durable.incarnation.is_some();
    Ok(has_incarnation.then_some(OpenedFolder { storage, durable }))
}

/// Makes a new database in place of what is there. The file that marks the folder as ready comes
/// last, so that a crash before leaves a folder that counts as empty.
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
    mark_ready(folder).map_err(|error| StorageError::folder(folder, error))?;
    let durable = storage.load()?;
    Ok(OpenedFolder { storage, durable })
}

fn clear(folder: &Path) -> io::Result<()> {
    fs::create_dir_all(folder)?;
    ignore_missing(fs::remove_file(folder.join(READY_FILE)))?;
    File::open(folder)?.sync_all()?;
    ignore_missing(fs::remove_dir_all(folder.join(DATABASE)))
}

fn mark_ready(folder: &Path) -> io::Result<()> {
    File::create(folder.join(READY_FILE))?.sync_all()?;
    File::open(folder)?.sync_all()
}

fn ignore_missing(removed: io::Result<()>) -> io::Result<()> {
    match removed {
        Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
        _ => Ok(()),
    }
}
