//! Rows in a `fjall` database, written by one thread. All commits that wait during a sync share the next one.

use std::cell::Cell;
use std::future::Future;
use std::io::ErrorKind;
use std::path::Path;
use std::rc::Rc;
use std::sync::mpsc::{channel, Receiver, Sender};

use fjall::{Database, Keyspace, KeyspaceCreateOptions, PersistMode};
use plankhill_turns::rows::{RowChange, Table};
use tokio::sync::oneshot;

use super::{Disk, DiskError};

/// All tables lie in one keyspace, so that one flush frees a whole journal.
const KEYSPACE: &str = "rows";
/// Written to tables of the database from this size on: small beside the memory of a machine.
const MEMTABLE_BYTES: u64 = 8 * 1024 * 1024;
/// The least that the library takes: most journals are freed long before.
const JOURNAL_BYTES: u64 = 64 * 1024 * 1024;
/// Blocks kept in memory: turns are read once or twice, mostly from the memtable.
const CACHE_BYTES: u64 = 4 * 1024 * 1024;
/// Files kept open.
const OPEN_FILES: usize = 64;
/// Bytes that wait to be written; a commit beyond fails at once.
const MOST_WAITING: usize = 24 * 1024 * 1024;
/// Commits in one sync.
const MOST_TOGETHER: usize = 1_024;

/// A commit on its way to the writing thread.
struct Commit {
    changes: Vec<RowChange>,
    done: oneshot::Sender<Result<(), DiskError>>,
}

/// Rows in a `fjall` database.
#[derive(Clone)]
pub struct FjallDisk {
    rows: Keyspace,
    commits: Sender<Commit>,
    waiting: Rc<Cell<usize>>,
}

impl FjallDisk {
    /// Opens the database in this folder, or makes one.
    ///
    /// # Errors
    /// [`DiskError::Unreadable`] when there is one that is broken, [`DiskError::Failed`] when the disk fails.
    pub fn open(folder: &Path) -> Result<Self, DiskError> {
        let builder = Database::builder(folder)
            .worker_threads(1)
            .cache_size(CACHE_BYTES)
            .max_cached_files(Some(OPEN_FILES))
            .max_journaling_size(JOURNAL_BYTES)
            .manual_journal_persist(true);
        let database = builder.open().map_err(opening)?;
        let options = || KeyspaceCreateOptions::default().max_memtable_size(MEMTABLE_BYTES);
        let rows = database.keyspace(KEYSPACE, options).map_err(opening)?;
        let (commits, queue) = channel();
        let writer = Writer { database, rows: rows.clone(), queue };
        let thread = std::thread::Builder::new().name("disk".into());
        thread.spawn(move || writer.run()).map_err(failed)?;
        Ok(FjallDisk { rows, commits, waiting: Rc::default() })
    }
}

impl Disk for FjallDisk {
    fn commit(&self, changes: Vec<RowChange>) -> impl Future<Output = Result<(), DiskError>> + 'static {
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
        let value = self.rows.get(row_key(table, key)).map_err(failed)?;
        Ok(value.map(|value| value.to_vec()))
    }

    fn scan(&self, table: Table, visit: &mut dyn FnMut(&[u8], &[u8])) -> Result<(), DiskError> {
        for row in self.rows.prefix([prefix(table)]) {
            let (key, value) = row.into_inner().map_err(failed)?;
            visit(&key[1..], &value);
        }
        Ok(())
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

/// The thread that writes.
struct Writer {
    database: Database,
    rows: Keyspace,
    queue: Receiver<Commit>,
}

impl Writer {
    fn run(self) {
        while let Ok(first) = self.queue.recv() {
            let mut together = vec![first];
            together.extend(self.queue.try_iter().take(MOST_TOGETHER));
            let outcome = self.write(&mut together);
            if let Err(error) = &outcome {
                tracing::error!(%error, "writing failed");
            }
            for commit in together {
                // The caller may have stopped waiting.
                let _ = commit.done.send(outcome.clone());
            }
        }
    }

    fn write(&self, together: &mut [Commit]) -> Result<(), DiskError> {
        let mut batch = self.database.batch().durability(Some(PersistMode::SyncData));
        for change in together.iter_mut().flat_map(|commit| commit.changes.drain(..)) {
            let key = row_key(change.table, &change.key);
            match change.value {
                Some(value) => batch.insert(&self.rows, key, value),
                None => batch.remove(&self.rows, key),
            }
        }
        batch.commit().map_err(failed)
    }
}

fn row_key(table: Table, key: &[u8]) -> Vec<u8> {
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

fn failed(error: impl std::fmt::Display) -> DiskError {
    DiskError::Failed(error.to_string())
}

/// Tells a broken database from a disk that fails for a while, as a full one does: the former never gets well.
fn opening(error: fjall::Error) -> DiskError {
    let io = match &error {
        fjall::Error::Io(io) | fjall::Error::Storage(fjall::LsmError::Io(io)) => Some(io.kind()),
        fjall::Error::Locked => return failed(error),
        _ => None,
    };
    let text = error.to_string();
    match io {
        None | Some(ErrorKind::NotFound | ErrorKind::UnexpectedEof | ErrorKind::InvalidData) => {
            DiskError::Unreadable(text)
        }
        Some(_) => DiskError::Failed(text),
    }
}

fn ended() -> DiskError {
    DiskError::Failed("the writing thread has ended".into())
}
