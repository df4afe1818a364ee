//! The thread that writes to a `fjall` database. Commits that arrive during a sync share the next one (group
//! commit).
//!
//! After a failed write the database has to be closed and reopened. Until the disk accepts writes again the
//! rows can still be read, and every commit is refused at once.

use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::time::Instant;

use fjall::{Database, PersistMode};
use plankhill_conversations::rows::RowChange;
use plankhill_disk_health::{check_free_space, Backoff};
use tokio::sync::oneshot;

use super::super::StorageError;
use super::database::{is_transient, open_database, read_incarnation_row, row_key};
use super::shared_rows::SharedRows;

/// Maximum number of commits that join the first one in a batch.
const MAX_JOINED_COMMITS: usize = 1_024;

/// A commit in the writer's queue.
pub(super) struct Commit {
    pub(super) changes: Vec<RowChange>,
    pub(super) done: oneshot::Sender<Result<(), StorageError>>,
}

/// Opens the database in this folder, or creates one, and starts the writer thread, which ends when the last
/// sender is dropped.
///
/// # Errors
/// Those of [`open_database`]; [`StorageError::Failed`] if the thread could not be started.
pub(super) fn start_writer(folder: &Path) -> Result<(SharedRows, Sender<Commit>), StorageError> {
    let (database, keyspace) = open_database(folder)?;
    let rows = SharedRows::default();
    rows.replace(Some(keyspace));
    let (commits, queue) = channel();
    let writer = Writer {
        folder: folder.to_path_buf(),
        database: Some(database),
        rows: rows.clone(),
        queue,
        condition: DiskCondition::Writable,
        incarnation_row: None,
    };
    let thread = std::thread::Builder::new().name("disk".into());
    thread
        .spawn(move || writer.run())
        .map_err(StorageError::failed)?;
    Ok((rows, commits))
}

/// The write state of the disk.
enum DiskCondition {
    /// The disk accepts writes.
    Writable,
    /// The disk refuses writes; the writer attempts to recover at `retry_at`.
    Refusing {
        cause: String,
        retry_at: Instant,
        backoff: Backoff,
    },
    /// The disk accepts no more writes until the process restarts.
    Failed(String),
}

impl DiskCondition {
    fn refusing(cause: String, mut backoff: Backoff) -> Self {
        let retry_at = Instant::now() + backoff.next_delay();
        DiskCondition::Refusing {
            cause,
            retry_at,
            backoff,
        }
    }
}

/// The reason why the writer's wait ended.
enum Wakeup {
    Commit(Commit),
    RecoveryDue,
    /// The last sender was dropped.
    Closed,
}

/// Owns the database, and recovers it after a failed write.
struct Writer {
    folder: PathBuf,
    /// The open database; None if reopening it after a failure did not succeed.
    database: Option<Database>,
    rows: SharedRows,
    queue: Receiver<Commit>,
    condition: DiskCondition,
    /// The row with the disk's incarnation, as last read: the database that is opened after a failure must
    /// be on the same disk.
    incarnation_row: Option<Vec<u8>>,
}

impl Writer {
    fn run(mut self) {
        loop {
            match self.wait() {
                Wakeup::Commit(first) => {
                    self.recover_if_due();
                    self.process_batch(first);
                }
                Wakeup::RecoveryDue => self.recover_if_due(),
                Wakeup::Closed => return,
            }
        }
    }

    fn wait(&self) -> Wakeup {
        let DiskCondition::Refusing { retry_at, .. } = &self.condition else {
            return match self.queue.recv() {
                Ok(commit) => Wakeup::Commit(commit),
                Err(_) => Wakeup::Closed,
            };
        };
        let delay = retry_at.saturating_duration_since(Instant::now());
        match self.queue.recv_timeout(delay) {
            Ok(commit) => Wakeup::Commit(commit),
            Err(RecvTimeoutError::Timeout) => Wakeup::RecoveryDue,
            Err(RecvTimeoutError::Disconnected) => Wakeup::Closed,
        }
    }

    /// Writes or refuses a commit together with those queued after it.
    fn process_batch(&mut self, first: Commit) {
        let mut commits = vec![first];
        commits.extend(self.queue.try_iter().take(MAX_JOINED_COMMITS));
        let outcome = match &self.condition {
            DiskCondition::Writable => self.write(&mut commits),
            DiskCondition::Refusing { cause, .. } => Err(StorageError::Refused(cause.clone())),
            DiskCondition::Failed(cause) => Err(StorageError::Failed(cause.clone())),
        };
        for commit in commits {
            // The receiver is dropped if the caller has stopped waiting.
            let _ = commit.done.send(outcome.clone());
        }
    }

    fn write(&mut self, commits: &mut [Commit]) -> Result<(), StorageError> {
        let Err(error) = self.write_batch(commits) else {
            return Ok(());
        };
        tracing::error!(%error, "disk write failed");
        let cause = error.to_string();
        if is_transient(&error) {
            self.condition = DiskCondition::refusing(cause.clone(), Backoff::default());
            Err(StorageError::Refused(cause))
        } else {
            self.condition = DiskCondition::Failed(cause.clone());
            Err(StorageError::Failed(cause))
        }
    }

    fn write_batch(&self, commits: &mut [Commit]) -> fjall::Result<()> {
        let Some(database) = &self.database else {
            return Err(fjall::Error::Poisoned);
        };
        let written = self.rows.with(|rows| {
            let mut batch = database.batch().durability(Some(PersistMode::SyncData));
            for change in commits
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
        });
        match written {
            Ok(written) => written,
            // No rows means that there is no open database.
            Err(_) => Err(fjall::Error::Poisoned),
        }
    }

    /// Attempts to recover if the disk refuses writes and the backoff has elapsed.
    fn recover_if_due(&mut self) {
        let DiskCondition::Refusing {
            retry_at, backoff, ..
        } = self.condition
        else {
            return;
        };
        if Instant::now() < retry_at {
            return;
        }
        self.condition = match self.recover() {
            Ok(()) => {
                tracing::info!("disk writable again");
                DiskCondition::Writable
            }
            Err(StorageError::Unreadable(error)) => {
                tracing::error!(error, "disk failed for good");
                DiskCondition::Failed(error)
            }
            Err(error) => {
                tracing::warn!(%error, "disk still refuses writes");
                DiskCondition::refusing(error.to_string(), backoff)
            }
        };
    }

    /// Reopens the database if the disk accepts writes. Until the database is closed for that, the rows stay
    /// readable.
    fn recover(&mut self) -> Result<(), StorageError> {
        check_free_space(&self.folder).map_err(StorageError::failed)?;
        if let Ok(row) = self.rows.with(read_incarnation_row) {
            self.incarnation_row = row;
        }
        // An open database locks its folder, so it is closed before it is opened again.
        self.rows.replace(None);
        self.database = None;
        let (database, keyspace) = open_database(&self.folder)?;
        if read_incarnation_row(&keyspace)? != self.incarnation_row {
            return Err(StorageError::Unreadable(
                "incarnation mismatch: the folder is on another disk".into(),
            ));
        }
        self.database = Some(database);
        self.rows.replace(Some(keyspace));
        Ok(())
    }
}
