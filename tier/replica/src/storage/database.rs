//! The rows of a member in an open `fjall` database. `tests/stored_format.rs` checks their encoding.

use std::path::Path;

use fjall::{Database, Keyspace, KeyspaceCreateOptions, OwnedWriteBatch, PersistMode};
use plankhill_chain::{DurableState, Write};
use plankhill_protocol::ids::{Incarnation, Revision};
use serde::de::DeserializeOwned;
use serde::Serialize;

use super::error::StorageError;
use super::row_codec;

/// All rows are in one keyspace, so that a single flush frees a complete journal.
const KEYSPACE: &str = "chain";
/// Size from which a memtable is flushed to disk tables. The live data is one snapshot and a few
/// hundred operations.
const MAX_MEMTABLE_BYTES: u64 = 12 * 1024 * 1024;
/// The minimum that `fjall` accepts.
const MAX_JOURNAL_BYTES: u64 = 64 * 1024 * 1024;
/// Small, because all rows are read only once, at startup.
const MAX_CACHE_BYTES: u64 = 256 * 1024;
/// Maximum number of cached open files.
const MAX_OPEN_FILES: usize = 16;

// Row keys. They are part of the stored format and must not change.
const INCARNATION: &[u8] = b"i";
const FOUNDERS: &[u8] = b"f";
const ACCEPTOR: &[u8] = b"a";
const VIEW: &[u8] = b"v";
const COMMITTED: &[u8] = b"c";
const SNAPSHOT: &[u8] = b"s";
/// Prefix of operation keys, followed by the revision as eight big-endian bytes.
const ENTRY_PREFIX: u8 = b'e';

/// An open database.
pub(super) struct OpenDatabase {
    database: Database,
    rows: Keyspace,
    /// The lowest revision that an operation in the database may have. `first` and `last` bound the
    /// range that snapshots and truncations remove.
    first: Revision,
    /// The highest revision that an operation in the database may have.
    last: Revision,
}

impl OpenDatabase {
    /// Opens the database in this folder, or creates one.
    pub(super) fn open(folder: &Path) -> Result<Self, StorageError> {
        let database = Database::builder(folder)
            .worker_threads(1)
            .cache_size(MAX_CACHE_BYTES)
            .max_cached_files(Some(MAX_OPEN_FILES))
            .max_journaling_size(MAX_JOURNAL_BYTES)
            .manual_journal_persist(true)
            .open()?;
        let options = || KeyspaceCreateOptions::default().max_memtable_size(MAX_MEMTABLE_BYTES);
        let rows = database.keyspace(KEYSPACE, options)?;
        let mut opened = Self {
            database,
            rows,
            first: Revision(1),
            last: Revision(0),
        };
        let durable = opened.load()?;
        let snapshot_revision = durable.snapshot.revision;
        let last_entry = durable.entries.keys().next_back().copied();
        opened.first = Revision(snapshot_revision.0 + 1);
        opened.last = last_entry.unwrap_or(snapshot_revision);
        Ok(opened)
    }

    /// Reads the complete durable state.
    pub(super) fn load(&self) -> Result<DurableState, StorageError> {
        let mut durable = DurableState {
            incarnation: self.incarnation()?,
            founders: self.row(FOUNDERS)?,
            acceptor: self.row(ACCEPTOR)?.unwrap_or_default(),
            view: self.row(VIEW)?.unwrap_or_default(),
            committed: self.row(COMMITTED)?.unwrap_or_default(),
            snapshot: self.row(SNAPSHOT)?.unwrap_or_default(),
            ..DurableState::default()
        };
        for row in self.rows.prefix([ENTRY_PREFIX]) {
            let (key, value) = row.into_inner()?;
            durable
                .entries
                .insert(entry_revision(&key)?, decode(&key, &value)?);
        }
        Ok(durable)
    }

    /// Returns the incarnation of the disk, or `None` if none has been written yet.
    pub(super) fn incarnation(&self) -> Result<Option<Incarnation>, StorageError> {
        self.row(INCARNATION)
    }

    /// Writes the changes as one batch and syncs it.
    pub(super) fn write(&mut self, changes: &[Write]) -> Result<(), StorageError> {
        let mut batch = self
            .database
            .batch()
            .durability(Some(PersistMode::SyncData));
        for change in changes {
            self.stage(&mut batch, change)?;
        }
        batch.commit()?;
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

    fn row<T: DeserializeOwned>(&self, key: &[u8]) -> Result<Option<T>, StorageError> {
        match self.rows.get(key)? {
            Some(value) => Ok(Some(decode(key, &value)?)),
            None => Ok(None),
        }
    }

    fn put<T: Serialize>(
        &self,
        batch: &mut OwnedWriteBatch,
        key: &[u8],
        value: &T,
    ) -> Result<(), StorageError> {
        let value = row_codec::encode(value).map_err(|source| StorageError::row(key, source))?;
        batch.insert(&self.rows, key, value);
        Ok(())
    }

    fn remove_entries(&self, batch: &mut OwnedWriteBatch, first: Revision, last: Revision) {
        for revision in first.0..=last.0 {
            batch.remove(&self.rows, entry_key(Revision(revision)));
        }
    }
}

fn entry_key(revision: Revision) -> [u8; 9] {
    let mut key = [ENTRY_PREFIX; 9];
    key[1..].copy_from_slice(&revision.0.to_be_bytes());
    key
}

fn entry_revision(key: &[u8]) -> Result<Revision, StorageError> {
    let revision = match key {
        [ENTRY_PREFIX, revision @ ..] => <[u8; 8]>::try_from(revision).ok(),
        _ => None,
    };
    match revision {
        Some(bytes) => Ok(Revision(u64::from_be_bytes(bytes))),
        None => Err(StorageError::EntryKey(key.to_vec())),
    }
}

fn decode<T: DeserializeOwned>(key: &[u8], value: &[u8]) -> Result<T, StorageError> {
    row_codec::decode(value).map_err(|source| StorageError::row(key, source))
}
