//! The folder of a store: a database, and a file that says that its first sync is over.
//!
//! A folder without that file, or with a database that cannot be read, counts as empty: the store starts as a
//! new incarnation, which takes part only after it has copied what belongs to it.

use std::fs::{self, File};
use std::io;
use std::path::Path;

use plankhill_conversations::rows::{incarnation_row, read_row, Table, INCARNATION_KEY};
use plankhill_disk_health::Backoff;
use plankhill_protocol::ids::Incarnation;

use super::{Disk, DiskError, FjallDisk};

/// Folder of the database.
const DATABASE: &str = "rows";
/// Made and synced once the incarnation is in the database.
const READY: &str = "ready";

/// What a folder holds.
pub struct OpenedFolder {
    /// The rows.
    pub disk: FjallDisk,
    /// The life of this disk.
    pub incarnation: Incarnation,
}

/// Opens a folder; `fresh` is the incarnation if it is empty. Waits while the disk fails, as a full one does: what lies
/// on it is given up only if it can never be read.
pub async fn open_folder(folder: &Path, fresh: Incarnation) -> OpenedFolder {
    let mut pauses = Backoff::default();
    while folder.join(READY).exists() {
        match open_existing(&folder.join(DATABASE)).await {
            Ok(opened) => return opened,
            Err(DiskError::Unreadable(error)) => {
                tracing::error!(%error, "database cannot be read; starting as an empty store");
                break;
            }
            Err(error) => {
                tracing::warn!(%error, "disk fails; trying again");
                tokio::time::sleep(pauses.next_delay()).await;
            }
        }
    }
    loop {
        match make_new(folder, fresh).await {
            Ok(opened) => return opened,
            Err(error) => {
                tracing::warn!(%error, "nothing can be made on the disk; trying again");
                tokio::time::sleep(pauses.next_delay()).await;
            }
        }
    }
}

/// Opens a database that takes writes: one on a full disk opens, and fails later.
async fn open_existing(folder: &Path) -> Result<OpenedFolder, DiskError> {
    let disk = FjallDisk::open(folder)?;
    let row = disk.read(Table::Own, INCARNATION_KEY)?;
    let incarnation = row.and_then(|row| read_row(&row));
    let incarnation = incarnation.ok_or_else(|| DiskError::Unreadable("no incarnation".into()))?;
    disk.commit(vec![incarnation_row(incarnation)]).await?;
    Ok(OpenedFolder { disk, incarnation })
}

async fn make_new(folder: &Path, incarnation: Incarnation) -> Result<OpenedFolder, DiskError> {
    clear(folder).map_err(|error| DiskError::Failed(error.to_string()))?;
    let disk = FjallDisk::open(&folder.join(DATABASE))?;
    disk.commit(vec![incarnation_row(incarnation)]).await?;
    mark_ready(folder).map_err(|error| DiskError::Failed(error.to_string()))?;
    Ok(OpenedFolder { disk, incarnation })
}

fn clear(folder: &Path) -> io::Result<()> {
    fs::create_dir_all(folder)?;
    remove(fs::remove_file(folder.join(READY)))?;
    File::open(folder)?.sync_all()?;
    remove(fs::remove_dir_all(folder.join(DATABASE)))
}

fn remove(removed: io::Result<()>) -> io::Result<()> {
    match removed {
        Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
        _ => Ok(()),
    }
}

fn mark_ready(folder: &Path) -> io::Result<()> {
    File::create(folder.join(READY))?.sync_all()?;
    File::open(folder)?.sync_all()
}
