//! A member's data in a `fjall` database.

use std::io;
use std::path::{Path, PathBuf};

use fjall::{Database, Keyspace, KeyspaceCreateOptions, OwnedWriteBatch, PersistMode};
use plankhill_chain::{Durable, Storage, Write};
use plankhill_disk_health::check_free_space;
use plankhill_protocol::ids::{Incarnation, Revision};
use serde::de::DeserializeOwned;
use serde::Serialize;
use thiserror::Error;

/// Everything lies in one keyspace, so that one flush frees a whole journal.
const KEYSPACE: &str = "chain";
/// Written to tables from this size on. What is alive is one snapshot and some hundred operations.
const MEMTABLE_BYTES: u64 = 12 * 1024 * 1024;
/// The least that the library takes.
const JOURNAL_BYTES: u64 = 64 * 1024 * 1024;
/// Everything is read once, at the start.
const CACHE_BYTES: u64 = 256 * 1024;
/// Files kept open.
const OPEN_FILES: usize = 16;

/// Keys; they are on disks and never change.
const INCARNATION: &[u8] = b"i";
const FOUNDERS: &[u8] = b"f";
const ACCEPTOR: &[u8] = b"a";
const VIEW: &[u8] = b"v";
const COMMITTED: &[u8] = b"c";
const SNAPSHOT: &[u8] = b"s";
/// Followed by the revision in eight bytes, the highest first.
const ENTRY: u8 = b'e';

/// Why the storage cannot be used.
#[derive(Debug, Error)]
pub enum StorageError {
    /// The database reports an error.
    #[error("database: {0}")]
    Database(#[from] fjall::Error),
    /// A row is not what was written.
    #[error("row: {0}")]
    Row(#[from] postcard::Error),
    /// The folder cannot be used.
    #[error("folder: {0}")]
    Folder(#[from] io::Error),
    /// The database was closed after a failed write and could not be opened again yet.
    #[error("the database is closed after a failed write")]
    Closed,
    /// Another disk lies in the place of the one that was open.
    #[error("the disk was replaced by another one")]
    Replaced,
}

impl StorageError {
    /// Whether another attempt may find everything as it was: the data has not been shown to be damaged.
    pub(crate) fn may_pass(&self) -> bool {
        let io = match self {
            Self::Database(fjall::Error::Io(error))
            | Self::Database(fjall::Error::Storage(fjall::LsmError::Io(error)))
            | Self::Folder(error) => error,
            Self::Database(fjall::Error::Locked | fjall::Error::Poisoned) | Self::Closed => {
                return true
            }
            Self::Database(_) | Self::Row(_) | Self::Replaced => return false,
        };
        !matches!(
            io.kind(),
            io::ErrorKind::UnexpectedEof | io::ErrorKind::InvalidData
        )
    }
}

/// A member's data in a `fjall` database.
pub struct FjallStorage {
    folder: PathBuf,
    /// The life of the disk, once it has begun: what is opened later has to be the same disk.
    incarnation: Option<Incarnation>,
    /// Missing while a failed database could not be opened again.
    open: Option<OpenDatabase>,
}

impl FjallStorage {
    /// Opens the database in this folder, or makes one.
    ///
    /// # Errors
    /// [`StorageError`] when there is one that cannot be read.
    pub fn open(folder: &Path) -> Result<Self, StorageError> {
        let open = OpenDatabase::open(folder)?;
        let incarnation = open.row(INCARNATION)?;
        Ok(Self {
            folder: folder.to_path_buf(),
            incarnation,
            open: Some(open),
        })
    }

    fn opened(&mut self) -> Result<&mut OpenDatabase, StorageError> {
        self.open.as_mut().ok_or(StorageError::Closed)
    }
}

impl Storage for FjallStorage {
    type Error = StorageError;

    fn load(&mut self) -> Result<Durable, StorageError> {
        self.opened()?.load()
    }

    fn write(&mut self, changes: &[Write]) -> Result<(), StorageError> {
        self.opened()?.write(changes)?;
        let begun = changes.iter().rev().find_map(|change| match change {
            Write::Incarnation(incarnation) => Some(*incarnation),
            _ => None,
        });
        self.incarnation = begun.or(self.incarnation);
        Ok(())
    }

    /// The failed database goes on being read until the folder takes bytes again.
    fn recover(&mut self) -> Result<(), StorageError> {
        check_free_space(&self.folder)?;
        // The folder is locked while a database is open.
        self.open = None;
        let open = OpenDatabase::open(&self.folder)?;
        let found: Option<Incarnation> = open.row(INCARNATION)?;
        if found != self.incarnation {
            return Err(StorageError::Replaced);
        }
        self.open = Some(open);
        Ok(())
    }

    fn may_pass(error: &StorageError) -> bool {
        error.may_pass()
    }
}

/// A database that is open.
struct OpenDatabase {
    database: Database,
    rows: Keyspace,
    /// Operations in the database lie between these.
    first: Revision,
    last: Revision,
}

impl OpenDatabase {
    fn open(folder: &Path) -> Result<Self, StorageError> {
        let database = Database::builder(folder)
            .worker_threads(1)
            .cache_size(CACHE_BYTES)
            .max_cached_files(Some(OPEN_FILES))
            .max_journaling_size(JOURNAL_BYTES)
            .manual_journal_persist(true)
            .open()?;
        let options = || KeyspaceCreateOptions::default().max_memtable_size(MEMTABLE_BYTES);
        let rows = database.keyspace(KEYSPACE, options)?;
        let mut opened = Self {
            database,
            rows,
            first: Revision(1),
            last: Revision(0),
        };
        let held = opened.load()?;
        opened.first = Revision(held.snapshot.revision.0 + 1);
        opened.last = held
            .entries
            .keys()
            .next_back()
            .copied()
            .unwrap_or(held.snapshot.revision);
        Ok(opened)
    }

    fn row<T: DeserializeOwned>(&self, key: &[u8]) -> Result<Option<T>, StorageError> {
        let bytes = self.rows.get(key)?;
        Ok(bytes
            .map(|bytes| postcard::from_bytes(&bytes))
            .transpose()?)
    }

    fn put<T: Serialize>(
        &self,
        batch: &mut OwnedWriteBatch,
        key: &[u8],
        value: &T,
    ) -> Result<(), StorageError> {
        batch.insert(&self.rows, key, postcard::to_allocvec(value)?);
        Ok(())
    }

    fn stage(&mut self, batch: &mut OwnedWriteBatch, change: &Write) -> Result<(), StorageError> {
        match change {
            Write::Incarnation(incarnation) => self.put(batch, INCARNATION, incarnation),
            Write::Founders(addresses) => self.put(batch, FOUNDERS, addresses),
            Write::Acceptor(acceptor) => self.put(batch, ACCEPTOR, acceptor),
            Write::View(view) => self.put(batch, VIEW, view),
            Write::Committed(revision) => self.put(batch, COMMITTED, revision),
            Write::Append { revision, entry } => {
                self.last = self.last.max(*revision);
                self.put(batch, &entry_key(*revision), entry)
            }
            Write::Truncate(last) => {
                self.remove_entries(batch, Revision(last.0 + 1), self.last);
                self.last = self.last.min(*last);
                Ok(())
            }
            Write::Snapshot(snapshot) => {
                self.remove_entries(batch, self.first, snapshot.revision.min(self.last));
                self.first = Revision(snapshot.revision.0 + 1);
                self.last = self.last.max(snapshot.revision);
                self.put(batch, SNAPSHOT, snapshot)
            }
        }
    }

    fn remove_entries(&self, batch: &mut OwnedWriteBatch, first: Revision, last: Revision) {
        for revision in first.0..=last.0 {
            batch.remove(&self.rows, entry_key(Revision(revision)));
        }
    }

    fn load(&self) -> Result<Durable, StorageError> {
        let mut held = Durable {
            incarnation: self.row(INCARNATION)?,
            founders: self.row(FOUNDERS)?,
            acceptor: self.row(ACCEPTOR)?.unwrap_or_default(),
            view: self.row(VIEW)?.unwrap_or_default(),
            committed: self.row(COMMITTED)?.unwrap_or_default(),
            snapshot: self.row(SNAPSHOT)?.unwrap_or_default(),
            ..Durable::default()
        };
        for row in self.rows.prefix([ENTRY]) {
            let (key, value) = row.into_inner()?;
            let revision = key
                .get(1..)
                .and_then(|bytes| bytes.try_into().ok())
                .map(u64::from_be_bytes);
            let revision = Revision(revision.ok_or(postcard::Error::DeserializeUnexpectedEnd)?);
            held.entries.insert(revision, postcard::from_bytes(&value)?);
        }
        Ok(held)
    }

    fn write(&mut self, changes: &[Write]) -> Result<(), StorageError> {
        let mut batch = self
            .database
            .batch()
            .durability(Some(PersistMode::SyncData));
        for change in changes {
            self.stage(&mut batch, change)?;
        }
        Ok(batch.commit()?)
    }
}

fn entry_key(revision: Revision) -> [u8; 9] {
    let mut key = [ENTRY; 9];
    key[1..].copy_from_slice(&revision.0.to_be_bytes());
    key
}
