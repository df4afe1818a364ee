//! Commits of rows to the node's storage, and detection of a failed storage.

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;

use plankhill_conversations::rows::{RowChange, Table};

use crate::storage::{Storage, StorageError};

/// Owns the storage of the store's rows, and the flag whether it has failed.
pub(in crate::node) struct RowWriter<S> {
    storage: S,
    /// Set by the first permanent failure; the disk then accepts no more writes in this process.
    has_failed: Rc<Cell<bool>>,
}

impl<S: Storage> RowWriter<S> {
    pub(in crate::node) fn new(storage: S) -> Self {
        RowWriter {
            storage,
            has_failed: Rc::default(),
        }
    }

    /// Returns whether a commit has failed permanently.
    pub(in crate::node) fn has_failed(&self) -> bool {
        self.has_failed.get()
    }

    /// Writes the changes; the future completes once they are synced. The commit starts with the call:
    /// commits take effect in the order in which this method is called, even if the futures are not awaited.
    ///
    /// The future borrows nothing, so that it can be moved into a task.
    pub(in crate::node) fn commit(
        &self,
        changes: Vec<RowChange>,
    ) -> impl Future<Output = Result<(), StorageError>> + 'static + use<'_, S> {
        let written = self.storage.commit(changes);
        let has_failed = self.has_failed.clone();
        async move {
            let outcome = written.await;
            if let Err(error) = &outcome {
                tracing::warn!(%error, "commit failed");
                if matches!(error, StorageError::Failed(_)) {
                    has_failed.set(true);
                }
            }
            outcome
        }
    }

    /// Writes the changes without waiting for the outcome; for rows whose loss does no harm.
    pub(in crate::node) fn commit_best_effort(&self, changes: Vec<RowChange>) {
        drop(self.storage.commit(changes));
    }

    /// Reads a row of a completed commit.
    ///
    /// # Errors
    /// Those of [`Storage::read`].
    pub(in crate::node) fn read(
        &self,
        table: Table,
        key: &[u8],
    ) -> Result<Option<Vec<u8>>, StorageError> {
        self.storage.read(table, key)
    }
}
