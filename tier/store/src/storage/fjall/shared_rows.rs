//! The handle to the rows that the node's thread reads and the writer thread may replace.

use std::sync::{Arc, PoisonError, RwLock};

use fjall::Keyspace;

use super::super::StorageError;

/// The rows of the open database; none while the writer reopens the database.
#[derive(Clone, Default)]
pub(super) struct SharedRows {
    rows: Arc<RwLock<Option<Keyspace>>>,
}

impl SharedRows {
    /// Calls `read` with the rows, which stay open during the call.
    ///
    /// # Errors
    /// [`StorageError::Refused`] if the database is not open, and the errors of `read`.
    pub(super) fn with<T>(
        &self,
        read: impl FnOnce(&Keyspace) -> Result<T, StorageError>,
    ) -> Result<T, StorageError> {
        // No thread panics while it has the lock, and even then the content would be intact.
        let rows = self.rows.read().unwrap_or_else(PoisonError::into_inner);
        match &*rows {
            Some(rows) => read(rows),
            None => Err(StorageError::Refused(
                "the database is being reopened".into(),
            )),
        }
    }

    /// Replaces the rows once no reader uses the previous ones.
    pub(super) fn replace(&self, rows: Option<Keyspace>) {
        *self.rows.write().unwrap_or_else(PoisonError::into_inner) = rows;
    }
}
