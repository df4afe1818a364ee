//! The folder of a member: a database, and a file that says that its first sync is over.
//!
//! A folder without that file, or with a database that cannot be read, counts as empty: the member starts as a
//! new incarnation, which takes part only after it holds everything.

use std::fs::{self, File};
use std::io;
use std::net::SocketAddr;
use std::path::Path;

use plankhill_chain::{Durable, Storage, Write};
use plankhill_protocol::ids::Incarnation;

use super::fjall::{FjallStorage, StorageError};

/// Folder of the database.
const DATABASE: &str = "chain";
/// Made and synced once the incarnation is in the database.
const READY: &str = "chain-ready";

/// What a folder holds.
pub struct OpenedFolder {
    /// Where changes go.
    pub storage: FjallStorage,
    /// What has been written there; the incarnation is set.
    pub held: Durable,
}

/// Opens a folder. If it is empty, a life of the disk begins: `fresh` names it, `founders` is set where the member
/// may found the first view.
///
/// # Errors
/// [`StorageError`] when nothing can be made there.
pub fn open_folder(
    folder: &Path,
    fresh: Incarnation,
    founders: Option<Vec<SocketAddr>>,
) -> Result<OpenedFolder, StorageError> {
    if folder.join(READY).exists() {
        match open_existing(&folder.join(DATABASE)) {
            Ok(Some(opened)) => return Ok(opened),
            Ok(None) => {
                tracing::error!("database without an incarnation; starting with an empty disk")
            }
            Err(error) if error.may_pass() => return Err(error),
            Err(error) => {
                tracing::error!(%error, "database cannot be read; starting with an empty disk")
            }
        }
        return make_new(folder, fresh, None);
    }
    make_new(folder, fresh, founders)
}

fn open_existing(folder: &Path) -> Result<Option<OpenedFolder>, StorageError> {
    let mut storage = FjallStorage::open(folder)?;
    let held = storage.load()?;
    Ok(held
        .incarnation
        .is_some()
        .then_some(OpenedFolder { storage, held }))
}

fn make_new(
    folder: &Path,
    incarnation: Incarnation,
    founders: Option<Vec<SocketAddr>>,
) -> Result<OpenedFolder, StorageError> {
    clear(folder)?;
    let mut storage = FjallStorage::open(&folder.join(DATABASE))?;
    let mut writes = vec![Write::Incarnation(incarnation)];
    writes.extend(founders.map(Write::Founders));
    storage.write(&writes)?;
    mark_ready(folder)?;
    let held = storage.load()?;
    Ok(OpenedFolder { storage, held })
}

fn clear(folder: &Path) -> io::Result<()> {
    fs::create_dir_all(folder)?;
    unless_missing(fs::remove_file(folder.join(READY)))?;
    File::open(folder)?.sync_all()?;
    unless_missing(fs::remove_dir_all(folder.join(DATABASE)))
}

fn mark_ready(folder: &Path) -> io::Result<()> {
    File::create(folder.join(READY))?.sync_all()?;
    File::open(folder)?.sync_all()
}

fn unless_missing(removed: io::Result<()>) -> io::Result<()> {
    match removed {
        Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
        _ => Ok(()),
    }
}
