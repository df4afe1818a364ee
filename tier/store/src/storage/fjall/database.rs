//! Opening a `fjall` database: its options, the keys of its rows, and which of its errors may pass.

use std::io::ErrorKind;
use std::path::Path;

use fjall::{Database, Keyspace, KeyspaceCreateOptions};
use plankhill_conversations::keys::INCARNATION_KEY;
use plankhill_conversations::rows::Table;

use super::super::StorageError;

/// All tables lie in one keyspace, so that one flush frees a complete journal.
const KEYSPACE: &str = "rows";
/// Size from which rows in memory are written to tables of the database: small beside the memory of a
/// machine.
const MEMTABLE_BYTES: u64 = 512 * 1024;
/// The smallest journal size that the library accepts: most journals are freed long before.
const JOURNAL_BYTES: u64 = 64 * 1024 * 1024;
/// Blocks kept in memory: turns are read once or twice, mostly from the memtable.
const CACHE_BYTES: u64 = 256 * 1024;
/// Files that the database keeps open.
const MAX_OPEN_FILES: usize = 64;

/// Opens the database in this folder, or makes one.
///
/// # Errors
/// [`StorageError::Unreadable`] of a damaged database, which never recovers; [`StorageError::Failed`] of a
/// disk that fails, which may.
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

/// The row that names the incarnation of a disk, as it lies in the database.
pub(super) fn read_incarnation_row(rows: &Keyspace) -> Result<Option<Vec<u8>>, StorageError> {
    let key = row_key(Table::Metadata, INCARNATION_KEY);
    let row = rows.get(key).map_err(StorageError::failed)?;
    Ok(row.map(|row| row.to_vec()))
}

/// The key of a row in the keyspace: the prefix of its table, and its own key.
pub(super) fn row_key(table: Table, key: &[u8]) -> Vec<u8> {
    let mut row = Vec::with_capacity(key.len() + 1);
    row.push(table_prefix(table));
    row.extend_from_slice(key);
    row
}

/// The first byte of a table's keys. These bytes are on disks and never change.
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

/// Whether the cause of an error may pass: nothing says that the files are damaged.
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
