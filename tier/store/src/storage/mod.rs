//! The storage of a store's rows. Every implementation passes the contract in `tests/storage_contract.rs`.
//!
//! The node owns a [`Storage`] and is its only writer. The process uses [`FjallStorage`], in the folder that
//! [`open_state_folder`] opens; tests use a storage in memory.

mod fjall;
mod state_folder;

use std::future::Future;

use plankhill_conversations::rows::{RowChange, Table};

pub use fjall::FjallStorage;
pub use state_folder::{open_state_folder, StateFolder};

/// The error of a write or read of rows.
///
/// Causes are strings, because one failure of the database is returned for all commits of a batch and the
/// database's errors cannot be cloned.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StorageError {
    /// Too many bytes are pending.
    #[error("{pending_bytes} bytes are pending; {commit_bytes} more exceed the limit")]
    Busy {
        /// Bytes of the pending commits.
        pending_bytes: usize,
        /// Bytes of the commit that was refused.
        commit_bytes: usize,
    },
    /// The disk refuses writes temporarily, for example because it is full. The storage retries until the
    /// disk accepts writes again, and stays readable until then.
    #[error("the disk refuses writes: {0}")]
    Refused(String),
    /// The files are not a database of this kind, or are damaged.
    #[error("unreadable database: {0}")]
    Unreadable(String),
    /// The disk or the database failed; no more rows can be written until the process restarts.
    #[error("disk error: {0}")]
    Failed(String),
}

impl StorageError {
    /// Creates a [`StorageError::Failed`] with this cause.
    fn failed(cause: impl std::fmt::Display) -> Self {
        StorageError::Failed(cause.to_string())
    }
}

/// Durable storage of rows.
pub trait Storage: 'static {
    /// Writes the changes atomically; the future completes once they are synced.
    ///
    /// The commit starts with the call, and continues if the future is dropped. Commits take effect and
    /// complete in the order of their calls; a commit without changes completes once all earlier ones are
    /// synced.
    ///
    /// # Errors
    /// [`StorageError::Busy`], [`StorageError::Refused`] and [`StorageError::Failed`]; the rows are then
    /// unchanged.
    fn commit(
        &self,
        changes: Vec<RowChange>,
    ) -> impl Future<Output = Result<(), StorageError>> + 'static;

    /// Reads a row. Rows of completed commits are visible; rows of a commit in progress may be visible.
    ///
    /// # Errors
    /// [`StorageError::Failed`]; [`StorageError::Refused`] while the database is closed for recovery after
    /// the disk refused a write.
    fn read(&self, table: Table, key: &[u8]) -> Result<Option<Vec<u8>>, StorageError>;

    /// Calls `visit` with the key and the value of each row of a table, in the order of the keys.
    ///
    /// # Errors
    /// The errors of [`Storage::read`].
    fn scan(&self, table: Table, visit: &mut dyn FnMut(&[u8], &[u8])) -> Result<(), StorageError>;
}
