//! Rows in a `fjall` database, written by one thread.

use std::cell::Cell;
use std::future::Future;
use std::path::Path;
use std::rc::Rc;
use std::sync::mpsc::Sender;

use plankhill_conversations::rows::{RowChange, Table};
use tokio::sync::oneshot;

use super::writer::{ended, failed, start_writer, Commit, SharedRows};
use super::{Disk, DiskError};

/// Bytes that wait to be written; a commit beyond fails at once.
const MOST_WAITING: usize = 24 * 1024 * 1024;

/// Rows in a `fjall` database.
#[derive(Clone)]
pub struct FjallDisk {
    rows: SharedRows,
    commits: Sender<Commit>,
    waiting: Rc<Cell<usize>>,
}

impl FjallDisk {
    /// Opens the database in this folder, or makes one.
    ///
    /// # Errors
    /// [`DiskError::Unreadable`] when there is one that is broken, [`DiskError::Failed`] when the disk fails.
    pub fn open(folder: &Path) -> Result<Self, DiskError> {
        let (rows, commits) = start_writer(folder)?;
        Ok(FjallDisk {
            rows,
            commits,
            waiting: Rc::default(),
        })
    }
}

impl Disk for FjallDisk {
    fn commit(
        &self,
        changes: Vec<RowChange>,
    ) -> impl Future<Output = Result<(), DiskError>> + 'static {
        let bytes: usize = changes.iter().map(RowChange::bytes).sum();
        let waiting = self.waiting.clone();
        let queued = if waiting.get() + bytes > MOST_WAITING {
            Err(DiskError::Busy)
        } else {
            let (done, outcome) = oneshot::channel();
            let sent = self.commits.send(Commit { changes, done });
            sent.map(|()| outcome).map_err(|_| ended())
        };
        let counted = queued.is_ok().then(|| Counted::new(waiting, bytes));
        async move {
            let outcome = queued?.await.unwrap_or_else(|_| Err(ended()));
            drop(counted);
            outcome
        }
    }

    fn read(&self, table: Table, key: &[u8]) -> Result<Option<Vec<u8>>, DiskError> {
        self.rows.look(|rows| {
            let value = rows.get(row_key(table, key)).map_err(failed)?;
            Ok(value.map(|value| value.to_vec()))
        })
    }

    fn scan(&self, table: Table, visit: &mut dyn FnMut(&[u8], &[u8])) -> Result<(), DiskError> {
        self.rows.look(|rows| {
            for row in rows.prefix([prefix(table)]) {
                let (key, value) = row.into_inner().map_err(failed)?;
                visit(&key[1..], &value);
            }
            Ok(())
        })
    }
}

/// Bytes that wait while the caller does.
struct Counted {
    waiting: Rc<Cell<usize>>,
    bytes: usize,
}

impl Counted {
    fn new(waiting: Rc<Cell<usize>>, bytes: usize) -> Self {
        waiting.set(waiting.get() + bytes);
        Counted { waiting, bytes }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.waiting.set(self.waiting.get() - self.bytes);
    }
}

pub(super) fn row_key(table: Table, key: &[u8]) -> Vec<u8> {
    let mut row = Vec::with_capacity(key.len() + 1);
    row.push(prefix(table));
    row.extend_from_slice(key);
    row
}

/// The tables' first bytes; they are on disks and never change.
fn prefix(table: Table) -> u8 {
    match table {
        Table::Turns => b't',
        Table::Accounts => b'a',
        Table::Hints => b'h',
        Table::Extensions => b'e',
        Table::Own => b'o',
    }
}
