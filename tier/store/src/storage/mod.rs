//! Where a store keeps its rows. Every implementation passes the contract in `tests/storage_contract.rs`.
//!
//! The node owns a [`Storage`] and is the only one that writes to it. [`FjallStorage`] is the storage of
//! the process, in the folder that [`open_state_folder`] opens; tests have one in memory.

mod fjall;
mod state_folder;

use std::future::Future;

use plankhill_conversations::rows::{RowChange, Table};

pub use fjall::FjallStorage;
pub use state_folder::{open_state_folder, StateFolder};

/// Why rows could not be written or read.
///
/// Causes are texts: one failure of the database answers all commits of a batch, and the database's
/// errors cannot be cloned.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StorageError {
    /// Too many bytes wait to be written already.
    #[error("{pending_bytes} bytes wait to be written; {commit_bytes} more exceed the bound")]
    Busy {
        /// Bytes of the commits in progress.
        pending_bytes: usize,
        /// Bytes of the commit that was refused.
        commit_bytes: usize,
    },
    /// The disk refuses writes for now, as a full one does. The storage goes on attempting to write, and
    /// can be read meanwhile.
    #[error("the disk refuses to write: {0}")]
    Refused(String),
    /// The files are no database of this kind, or a damaged one.
    #[error("unreadable database: {0}")]
    Unreadable(String),
    /// The disk or the database failed; nothing more can be written until the process starts anew.
    #[error("disk: {0}")]
    Failed(String),
}

impl StorageError {
    /// A failure that lasts until the process starts anew.
    fn failed(cause: impl std::fmt::Display) -> Self {
        StorageError::Failed(cause.to_string())
    }
}

/// Rows that outlast a loss of power.
pub trait Storage: 'static {
    /// Writes the changes, all or none of them, and ends once they are synced.
    ///
    /// The commit begins with the call, and goes on if the future is dropped. Commits take effect and end
    /// in the order of their calls; one without changes ends once all earlier ones are synced.
    ///
    /// # Errors
    /// [`StorageError::Busy`], [`StorageError::Refused`] and [`StorageError::Failed`]; the rows are then
    /// as they were.
    fn commit(
        &self,
        changes: Vec<RowChange>,
    ) -> impl Future<Output = Result<(), StorageError>> + 'static;

    /// A row of a commit that has ended; a row of one that is in progress may or may not be there yet.
    ///
    /// # Errors
    /// [`StorageError::Failed`]; [`StorageError::Refused`] for a moment after the disk refused a write.
    fn read(&self, table: Table, key: &[u8]) -> Result<Option<Vec<u8>>, StorageError>;

    /// Calls `visit` with the key and the value of each row of a table, in the order of the keys.
    ///
    /// # Errors
    /// As for [`Storage::read`].
    fn scan(&self, table: Table, visit: &mut dyn FnMut(&[u8], &[u8])) -> Result<(), StorageError>;
}
