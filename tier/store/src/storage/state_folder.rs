//! The state folder of a store: a database, and a file which says that the database's first sync is
//! over.
//!
//! A folder without that file, or with a database that cannot be read, counts as empty: the store starts
//! as a new incarnation, which takes part only after it has copied the programs that it is a replica of.

use std::fs::{self, File};
use std::io;
use std::path::Path;

use plankhill_conversations::keys::INCARNATION_KEY;
use plankhill_conversations::rows::{decode_row, incarnation_row, Table};
use plankhill_disk_health::Backoff;
use plankhill_protocol::ids::Incarnation;

use super::{FjallStorage, Storage, StorageError};

/// Folder of the database.
const DATABASE_FOLDER: &str = "rows";
/// File that is made and synced once the incarnation is in the database.
const READY_FILE: &str = "ready";

/// An open state folder.
pub struct StateFolder {
    /// The rows.
    pub storage: FjallStorage,
    /// The incarnation of this disk.
    pub incarnation: Incarnation,
}

/// Opens a state folder, or makes one with the incarnation `new_incarnation`.
///
/// Waits as long as the disk fails, as a full one does: the rows on it are abandoned only if they can
/// never be read.
pub async fn open_state_folder(folder: &Path, new_incarnation: Incarnation) -> StateFolder {
    let mut backoff = Backoff::default();
    while folder.join(READY_FILE).exists() {
        match open_existing(&folder.join(DATABASE_FOLDER)).await {
            Ok(opened) => return opened,
            Err(StorageError::Unreadable(error)) => {
                tracing::error!(%error, "database unreadable; starting with an empty state folder");
                break;
            }
            Err(error) => {
                tracing::warn!(%error, "opening the database failed; retrying");
                tokio::time::sleep(backoff.next_delay()).await;
            }
        }
    }
    loop {
        match create(folder, new_incarnation).await {
            Ok(created) => return created,
            Err(error) => {
                tracing::warn!(%error, "creating the state folder failed; retrying");
                tokio::time::sleep(backoff.next_delay()).await;
            }
        }
    }
}

/// Opens a database and writes to it: one on a full disk opens, and fails with its first write.
async fn open_existing(folder: &Path) -> Result<StateFolder, StorageError> {
    let storage = FjallStorage::open(folder)?;
    let row = storage.read(Table::Metadata, INCARNATION_KEY)?;
    let Some(incarnation) = row.and_then(|row| decode_row(&row)) else {
        return Err(StorageError::Unreadable("no incarnation".into()));
    };
    storage.commit(vec![incarnation_row(incarnation)]).await?;
    Ok(StateFolder {
        storage,
        incarnation,
    })
}

/// The order of writes makes a folder whose creation was interrupted count as empty: the ready file goes
/// before the old database, and comes back only after the new database has its incarnation synced.
async fn create(folder: &Path, incarnation: Incarnation) -> Result<StateFolder, StorageError> {
    clear(folder).map_err(StorageError::failed)?;
    let storage = FjallStorage::open(&folder.join(DATABASE_FOLDER))?;
    storage.commit(vec![incarnation_row(incarnation)]).await?;
    mark_ready(folder).map_err(StorageError::failed)?;
    Ok(StateFolder {
        storage,
        incarnation,
    })
}

fn clear(folder: &Path) -> io::Result<()> {
    fs::create_dir_all(folder)?;
    ignore_not_found(fs::remove_file(folder.join(READY_FILE)))?;
    sync_folder(folder)?;
    ignore_not_found(fs::remove_dir_all(folder.join(DATABASE_FOLDER)))
}

fn mark_ready(folder: &Path) -> io::Result<()> {
    File::create(folder.join(READY_FILE))?.sync_all()?;
    sync_folder(folder)
}

fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}

fn ignore_not_found(removed: io::Result<()>) -> io::Result<()> {
    match removed {
        Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
        _ => Ok(()),
    }
}
