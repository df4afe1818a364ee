//! The thread that writes to a `fjall` database. All commits that wait during a sync share the next one.
//!
//! After a failed write the database has to be closed and opened anew. It is read as it is until the disk takes some
//! bytes again; until then every commit is refused at once.

use std::io::ErrorKind;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Instant;

use fjall::{Database, Keyspace, KeyspaceCreateOptions, PersistMode};
use plankhill_conversations::rows::{RowChange, Table, INCARNATION_KEY};
use plankhill_disk_health::{check_free_space, Backoff};
use tokio::sync::oneshot;

use super::fjall::row_key;
use super::DiskError;

/// All tables lie in one keyspace, so that one flush frees a whole journal.
const KEYSPACE: &str = "rows";
/// Written to tables of the database from this size on: small beside the memory of a machine.
const MEMTABLE_BYTES: u64 = 512 * 1024;
/// The least that the library takes: most journals are freed long before.
const JOURNAL_BYTES: u64 = 64 * 1024 * 1024;
/// Blocks kept in memory: turns are read once or twice, mostly from the memtable.
const CACHE_BYTES: u64 = 256 * 1024;
/// Files kept open.
const OPEN_FILES: usize = 64;
/// Commits in one sync.
const MOST_TOGETHER: usize = 1_024;

/// A commit on its way to the thread.
pub(super) struct Commit {
    pub(super) changes: Vec<RowChange>,
    pub(super) done: oneshot::Sender<Result<(), DiskError>>,
}

/// The rows as they can be read; none while the database is being opened anew.
#[derive(Clone, Default)]
pub(super) struct SharedRows {
    rows: Arc<RwLock<Option<Keyspace>>>,
}

impl SharedRows {
    /// Looks at the rows, which stay open meanwhile.
    pub(super) fn look<T>(
        &self,
        look: impl FnOnce(&Keyspace) -> Result<T, DiskError>,
    ) -> Result<T, DiskError> {
        // Nobody panics with the lock; its content would be whole all the same.
        let rows = self.rows.read().unwrap_or_else(PoisonError::into_inner);
        match &*rows {
            Some(rows) => look(rows),
            None => Err(DiskError::Refused(
                "the database is being opened anew".into(),
            )),
        }
    }

    fn replace(&self, rows: Option<Keyspace>) {
        *self.rows.write().unwrap_or_else(PoisonError::into_inner) = rows;
    }
}

/// Opens the database in this folder, or makes one, and starts the thread, which ends with the sender.
pub(super) fn start_writer(folder: &Path) -> Result<(SharedRows, Sender<Commit>), DiskError> {
    let (database, keyspace) = open(folder)?;
    let rows = SharedRows::default();
    rows.replace(Some(keyspace));
    let (commits, queue) = channel();
    let writer = Writer {
        folder: folder.to_path_buf(),
        database: Some(database),
        rows: rows.clone(),
        queue,
        condition: Condition::Well,
        life: None,
    };
    let thread = std::thread::Builder::new().name("disk".into());
    thread.spawn(move || writer.run()).map_err(failed)?;
    Ok((rows, commits))
}

/// What the disk is good for.
enum Condition {
    /// It writes.
    Well,
    /// It refuses to write, and is tried again at that time.
    Refusing {
        cause: String,
        next_try: Instant,
        pauses: Backoff,
    },
    /// It is of no use any more.
    Failed(String),
}

struct Writer {
    folder: PathBuf,
    /// Missing while a failed database could not be opened again.
    database: Option<Database>,
    rows: SharedRows,
    queue: Receiver<Commit>,
    condition: Condition,
    /// The row that tells the life of the disk, as last read: what is opened anew has to be the same disk.
    life: Option<Vec<u8>>,
}

impl Writer {
    fn run(mut self) {
        loop {
            let first = match &self.condition {
                Condition::Refusing { next_try, .. } => {
                    let pause = next_try.saturating_duration_since(Instant::now());
                    match self.queue.recv_timeout(pause) {
                        Ok(commit) => Some(commit),
                        Err(RecvTimeoutError::Timeout) => None,
                        Err(RecvTimeoutError::Disconnected) => return,
                    }
                }
                Condition::Well | Condition::Failed(_) => match self.queue.recv() {
                    Ok(commit) => Some(commit),
                    Err(_) => return,
                },
            };
            self.recover_if_due();
            if let Some(first) = first {
                self.take(first);
            }
        }
    }

    /// Writes a commit and all that wait behind it, or refuses them.
    fn take(&mut self, first: Commit) {
        let mut together = vec![first];
        together.extend(self.queue.try_iter().take(MOST_TOGETHER));
        let outcome = match &self.condition {
            Condition::Well => self.write(&mut together),
            Condition::Refusing { cause, .. } => Err(DiskError::Refused(cause.clone())),
            Condition::Failed(cause) => Err(DiskError::Failed(cause.clone())),
        };
        for commit in together {
            // The caller may have stopped waiting.
            let _ = commit.done.send(outcome.clone());
        }
    }

    fn write(&mut self, together: &mut [Commit]) -> Result<(), DiskError> {
        let Err(error) = self.write_batch(together) else {
            return Ok(());
        };
        tracing::error!(%error, "writing failed");
        let cause = error.to_string();
        let pauses = Backoff::default();
        let passes = may_pass(&error);
        self.condition = if passes {
            refusing(cause.clone(), pauses)
        } else {
            Condition::Failed(cause.clone())
        };
        Err(if passes {
            DiskError::Refused(cause)
        } else {
            DiskError::Failed(cause)
        })
    }

    fn write_batch(&self, together: &mut [Commit]) -> fjall::Result<()> {
        let Some(database) = &self.database else {
            return Err(fjall::Error::Poisoned);
        };
        self.rows
            .look(|rows| {
                let mut batch = database.batch().durability(Some(PersistMode::SyncData));
                for change in together
                    .iter_mut()
                    .flat_map(|commit| commit.changes.drain(..))
                {
                    let key = row_key(change.table, &change.key);
                    match change.value {
                        Some(value) => batch.insert(rows, key, value),
                        None => batch.remove(rows, key),
                    }
                }
                Ok(batch.commit())
            })
            .unwrap_or(Err(fjall::Error::Poisoned))
    }

    /// Opens the database anew, once the disk takes some bytes.
    fn recover_if_due(&mut self) {
        let Condition::Refusing {
            next_try, pauses, ..
        } = self.condition
        else {
            return;
        };
        if Instant::now() < next_try {
            return;
        }
        self.condition = match self.recover() {
            Ok(()) => {
                tracing::info!("the disk writes again");
                Condition::Well
            }
            Err(DiskError::Unreadable(cause)) => {
                tracing::error!(cause, "the disk is of no use any more");
                Condition::Failed(cause)
            }
            Err(error) => {
                tracing::warn!(%error, "the disk refuses to write");
                refusing(error.to_string(), pauses)
            }
        };
    }

    fn recover(&mut self) -> Result<(), DiskError> {
        check_free_space(&self.folder).map_err(failed)?;
        if let Ok(life) = self.rows.look(life_of) {
            self.life = life;
        }
        // The folder is locked while a database is open.
        self.rows.replace(None);
        self.database = None;
        let (database, keyspace) = open(&self.folder)?;
        if life_of(&keyspace)? != self.life {
            return Err(DiskError::Unreadable(
                "another disk lies in its place".into(),
            ));
        }
        self.database = Some(database);
        self.rows.replace(Some(keyspace));
        Ok(())
    }
}

fn refusing(cause: String, mut pauses: Backoff) -> Condition {
    let next_try = Instant::now() + pauses.next_delay();
    Condition::Refusing {
        cause,
        next_try,
        pauses,
    }
}

fn open(folder: &Path) -> Result<(Database, Keyspace), DiskError> {
    let builder = Database::builder(folder)
        .worker_threads(1)
        .cache_size(CACHE_BYTES)
        .max_cached_files(Some(OPEN_FILES))
        .max_journaling_size(JOURNAL_BYTES)
        .manual_journal_persist(true);
    let database = builder.open().map_err(opening)?;
    let options = || KeyspaceCreateOptions::default().max_memtable_size(MEMTABLE_BYTES);
    let rows = database.keyspace(KEYSPACE, options).map_err(opening)?;
    Ok((database, rows))
}

/// The row that tells the life of a disk.
fn life_of(rows: &Keyspace) -> Result<Option<Vec<u8>>, DiskError> {
    let row = rows
        .get(row_key(Table::Own, INCARNATION_KEY))
        .map_err(failed)?;
    Ok(row.map(|row| row.to_vec()))
}

pub(super) fn failed(error: impl std::fmt::Display) -> DiskError {
    DiskError::Failed(error.to_string())
}

pub(super) fn ended() -> DiskError {
    DiskError::Failed("the writing thread has ended".into())
}

/// Tells a broken database from a disk that fails for a while, as a full one does: the former never gets well.
fn opening(error: fjall::Error) -> DiskError {
    match may_pass(&error) {
        true => failed(error),
        false => DiskError::Unreadable(error.to_string()),
    }
}

/// Whether the cause may pass: nothing says that what lies on the disk is damaged.
fn may_pass(error: &fjall::Error) -> bool {
    match error {
        fjall::Error::Io(io) | fjall::Error::Storage(fjall::LsmError::Io(io)) => !matches!(
            io.kind(),
            ErrorKind::NotFound | ErrorKind::UnexpectedEof | ErrorKind::InvalidData
        ),
        fjall::Error::Locked | fjall::Error::Poisoned => true,
        _ => false,
    }
}
