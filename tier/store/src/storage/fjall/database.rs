//! Opens a `fjall` database; defines its options, the keys of its rows, and which errors are transient.

use std::io::ErrorKind;
use std::path::Path;

use fjall::{Database, Keyspace, KeyspaceCreateOptions};
use plankhill_conversations::keys::INCARNATION_KEY;
use plankhill_conversations::rows::Table;

use super::super::StorageError;

/// The one keyspace of all tables: with one keyspace, a single flush frees a complete journal.
const KEYSPACE: &str = "rows";
/// Size at which the memtable is flushed to disk: small compared to the memory of a machine.
const MEMTABLE_BYTES: u64 = 512 * 1024;
/// The smallest journal size that the library accepts; most journals are freed long before they reach it.
const JOURNAL_BYTES: u64 = 64 * 1024 * 1024;
/// Size of the block cache: small, because turns are read once or twice, mostly from the memtable.
const CACHE_BYTES: u64 = 256 * 1024;
/// Maximum number of files that the database keeps open.
const MAX_OPEN_FILES: usize = 64;

/// Opens the database in this folder, or creates one.
///
/// # Errors
/// [`StorageError::Unreadable`] if the database is damaged, which is permanent; [`StorageError::Failed`] if
/// the disk fails, which may be temporary.
pub(super) fn open_database(folder: &Path) -> Result<(Database, Keyspace), StorageError> {
    let builder = Database::builder(folder)
        .worker_threads(1)
        .cache_size(CACHE_BYTES)
        .max_cached_files(Some(MAX_OPEN_FILES))
        .max_journaling_size(JOURNAL_BYTES)
        .manual_journal_persist(true);
    let database = builder.open().map_err(classify_open_error)?;
    let options = || KeyspaceCreateOptions::default().max_memtable_size(MEMTABLE_BYTES);
    let rows = database
        .keyspace(KEYSPACE, options)
        .map_err(classify_open_error)?;
    Ok((database, rows))
}

/// Reads the row with the incarnation of the disk, still encoded.
pub(super) fn read_incarnation_row(rows: &Keyspace) -> Result<Option<Vec<u8>>, StorageError> {
    let key = row_key(Table::Metadata, INCARNATION_KEY);
    let row = rows.get(key).map_err(StorageError::failed)?;
    Ok(row.map(|row| row.to_vec()))
}

/// The key of a row in the keyspace: the prefix of its table, followed by its key in the table.
pub(super) fn row_key(table: Table, key: &[u8]) -> Vec<u8> {
    let mut row = Vec::with_capacity(key.len() + 1);
    row.push(table_prefix(table));
    row.extend_from_slice(key);
    row
}

/// The first byte of a table's keys. These bytes are part of the stored format and must not change.
pub(super) fn table_prefix(table: Table) -> u8 {
    match table {
        Table::Turns => b't',
        Table::Accounts => b'a',
        Table::Hints => b'h',
        Table::Extensions => b'e',
        Table::Metadata => b'o',
    }
}

fn classify_open_error(error: fjall::Error) -> StorageError {
    if is_transient(&error) {
        StorageError::failed(error)
    } else {
        StorageError::Unreadable(error.to_string())
    }
}

/// Returns whether an error may be temporary, that is, does not indicate damaged files.
pub(super) fn is_transient(error: &fjall::Error) -> bool {
    match error {
        fjall::Error::Io(io) | fjall::Error::Storage(fjall::LsmError::Io(io)) => !matches!(
            io.kind(),
            ErrorKind::NotFound | ErrorKind::UnexpectedEof | ErrorKind::InvalidData
        ),
        fjall::Error::Locked | fjall::Error::Poisoned => true,
        _ => false,
    }
}
