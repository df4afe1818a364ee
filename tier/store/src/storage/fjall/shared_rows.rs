//! The rows as the node's thread reads them while the writer's thread may replace them.

use std::sync::{Arc, PoisonError, RwLock};

use fjall::Keyspace;

use super::super::StorageError;

/// The rows that can be read; none while the writer opens the database anew.
#[derive(Clone, Default)]
pub(super) struct SharedRows {
    rows: Arc<RwLock<Option<Keyspace>>>,
}

impl SharedRows {
    /// Calls `read` with the rows, which stay open meanwhile.
    ///
    /// # Errors
    /// [`StorageError::Refused`] without rows, and the errors of `read`.
    pub(super) fn with<T>(
        &self,
        read: impl FnOnce(&Keyspace) -> Result<T, StorageError>,
    ) -> Result<T, StorageError> {
        // No thread panics with the lock, and its content would be intact all the same.
        let rows = self.rows.read().unwrap_or_else(PoisonError::into_inner);
        match &*rows {
            Some(rows) => read(rows),
            None => Err(StorageError::Refused(
                "the database is being opened anew".into(),
            )),
        }
    }

    /// Replaces the rows, once no reader uses the ones before.
    pub(super) fn replace(&self, rows: Option<Keyspace>) {
        *self.rows.write().unwrap_or_else(PoisonError::into_inner) = rows;
    }
}
