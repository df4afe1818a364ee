//! The state folder of a store: a database, and a file that marks the database as synced for the first
//! time.
//!
//! A folder without that file, or with a database that cannot be read, is treated as empty: the store
//! starts as a new incarnation, which serves only after it has copied the programs of which it is a replica.

use std::fs::{self, File};
use std::io;
use std::path::Path;

use plankhill_conversations::keys::INCARNATION_KEY;
use plankhill_conversations::rows::{decode_row, incarnation_row, Table};
use plankhill_disk_health::Backoff;
use plankhill_protocol::ids::Incarnation;

use super::{FjallStorage, Storage, StorageError};

/// Name of the folder of the database.
const DATABASE_FOLDER: &str = "rows";
/// Name of the file that is created and synced once the incarnation is in the database.
const READY_FILE: &str = "ready";

/// An open state folder.
pub struct StateFolder {
    /// The storage of the rows.
    pub storage: FjallStorage,
    /// The incarnation of this disk.
    pub incarnation: Incarnation,
}

/// Opens a state folder, or creates one with the incarnation `new_incarnation`.
///
/// Retries as long as the disk fails, for example because it is full: existing rows are discarded only if
/// they are permanently unreadable.
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

/// Opens a database and writes to it, because a database on a full disk opens and only fails at its first
/// write.
async fn open_existing(folder: &Path) -> Result<StateFolder, StorageError> {
    let storage = FjallStorage::open(folder)?;
    let row = storage.read(Table::Metadata, INCARNATION_KEY)?;
    let Some(incarnation) = row.and_then(|row| decode_row(&row)) else {
        return Err(StorageError::Unreadable(
            "the incarnation row is missing or invalid".into(),
        ));
    };
    storage.commit(vec![incarnation_row(incarnation)]).await?;
    Ok(StateFolder {
        storage,
        incarnation,
    })
}

/// Creates an empty state folder. The order of the steps ensures that a folder whose creation was
/// interrupted is treated as empty: the ready file is removed before the old database, and created again
/// only after the incarnation is synced in the new database.
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
