//! Where a store keeps its rows. Every implementation passes the contract in `tests/disk_contract.rs`.

mod fjall;
mod folder;
mod memory;
mod writer;

use std::future::Future;

use plankhill_conversations::rows::{RowChange, Table};

pub use fjall::FjallDisk;
pub use folder::{open_folder, OpenedFolder};
pub use memory::MemoryDisk;

/// Why rows could not be written or read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DiskError {
    /// Too much waits to be written already.
    #[error("too much waits to be written")]
    Busy,
    /// The disk takes no writes for now, as a full one does. It goes on being tried, and can be read meanwhile.
    #[error("the disk refuses to write: {0}")]
    Refused(String),
    /// What lies on the disk is no database of this kind, or a broken one.
    #[error("unreadable database: {0}")]
    Unreadable(String),
    /// The disk or the database failed for good; nothing more can be written until the process starts anew.
    #[error("disk: {0}")]
    Failed(String),
}

/// Rows that outlast a loss of power.
pub trait Disk: 'static {
    /// Writes the changes, all or none of them, and ends once they are synced. Commits take effect and end in
    /// the order of their calls; one without changes ends once all earlier ones are synced.
    fn commit(
        &self,
        changes: Vec<RowChange>,
    ) -> impl Future<Output = Result<(), DiskError>> + 'static;

    /// A row of a commit that has ended; one of a commit under way may or may not be there yet.
    ///
    /// # Errors
    /// [`DiskError::Failed`]; [`DiskError::Refused`] for a moment after the disk had refused to write.
    fn read(&self, table: Table, key: &[u8]) -> Result<Option<Vec<u8>>, DiskError>;

    /// Shows all rows of a table in the order of their keys.
    ///
    /// # Errors
    /// As for [`Disk::read`].
    fn scan(&self, table: Table, visit: &mut dyn FnMut(&[u8], &[u8])) -> Result<(), DiskError>;
}
