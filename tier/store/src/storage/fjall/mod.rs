//! Rows in a `fjall` database (a log-structured merge tree), written by one thread.
//!
//! The node's thread reads through [`SharedRows`] and sends commits to the [`writer`]. The writer thread
//! owns the database, and reopens it after a failure.

mod database;
mod pending_bytes;
mod shared_rows;
mod writer;

use std::future::Future;
use std::path::Path;
use std::sync::mpsc::Sender;

use plankhill_conversations::rows::{RowChange, Table};
use tokio::sync::oneshot;

use super::{Storage, StorageError};
use database::{row_key, table_prefix};
use pending_bytes::{PendingBytes, PendingBytesGuard};
use shared_rows::SharedRows;
use writer::{start_writer, Commit};

/// Rows in a `fjall` database. Clones share the database; the writer thread ends when the last clone is
/// dropped.
#[derive(Clone)]
pub struct FjallStorage {
    rows: SharedRows,
    commits: Sender<Commit>,
    pending: PendingBytes,
}

/// A commit that has been sent to the writer.
struct SentCommit {
    outcome: oneshot::Receiver<Result<(), StorageError>>,
    pending: PendingBytesGuard,
}

impl FjallStorage {
    /// Opens the database in this folder, or creates one.
    ///
    /// # Errors
    /// [`StorageError::Unreadable`] if the database is damaged, [`StorageError::Failed`] if the disk fails.
    pub fn open(folder: &Path) -> Result<Self, StorageError> {
        let (rows, commits) = start_writer(folder)?;
        Ok(FjallStorage {
            rows,
            commits,
            pending: PendingBytes::default(),
        })
    }

    fn send_commit(&self, changes: Vec<RowChange>) -> Result<SentCommit, StorageError> {
        let bytes = changes.iter().map(RowChange::bytes).sum();
        let pending = self.pending.reserve(bytes)?;
        let (done, outcome) = oneshot::channel();
        match self.commits.send(Commit { changes, done }) {
            Ok(()) => Ok(SentCommit { outcome, pending }),
            Err(_) => Err(writer_ended()),
        }
    }
}

impl Storage for FjallStorage {
    fn commit(
        &self,
        changes: Vec<RowChange>,
    ) -> impl Future<Output = Result<(), StorageError>> + 'static {
        let sent = self.send_commit(changes);
        async move {
            let SentCommit { outcome, pending } = sent?;
            let outcome = outcome.await.unwrap_or_else(|_| Err(writer_ended()));
            drop(pending);
            outcome
        }
    }

    fn read(&self, table: Table, key: &[u8]) -> Result<Option<Vec<u8>>, StorageError> {
        self.rows.with(|rows| {
            let value = rows
                .get(row_key(table, key))
                .map_err(StorageError::failed)?;
            Ok(value.map(|value| value.to_vec()))
        })
    }

    fn scan(&self, table: Table, visit: &mut dyn FnMut(&[u8], &[u8])) -> Result<(), StorageError> {
        self.rows.with(|rows| {
            for row in rows.prefix([table_prefix(table)]) {
                let (key, value) = row.into_inner().map_err(StorageError::failed)?;
                visit(&key[1..], &value);
            }
            Ok(())
        })
    }
}

fn writer_ended() -> StorageError {
    StorageError::Failed("the writer thread has ended".into())
}
