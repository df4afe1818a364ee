//! Tests that large values are compressed on the disk and that corrupted values are detected.

use std::sync::Arc;

use fjall::{Database, KeyspaceCreateOptions};
use plankhill_chain::{Entry, RequestNumber, Storage, Write};
use plankhill_protocol::ids::{Incarnation, NodeId, Revision};
use plankhill_replica::storage::FjallStorage;
use tempfile::TempDir;

/// Returns an operation with repetitive text, like that of a configuration.
fn operation() -> Arc<[u8]> {
    let routes: Vec<String> = (0..4_000)
        .map(|number| format!("{{\"name\":\"r-{number}\",\"timeout_ms\":{}}}", number % 7))
        .collect();
    Arc::from(routes.join(",").into_bytes())
}

fn append(operation: &Arc<[u8]>) -> Write {
    let entry = Entry {
        request: RequestNumber(u128::MAX),
        origin: NodeId::from("core-1"),
        operation: Arc::clone(operation),
    };
    Write::Append {
        revision: Revision(1),
        entry,
    }
}

/// Returns the raw rows of the database in the folder.
fn raw_rows(folder: &std::path::Path) -> Vec<(Vec<u8>, Vec<u8>)> {
    let database = Database::builder(folder).open().unwrap();
    let rows = database
        .keyspace("chain", KeyspaceCreateOptions::default)
        .unwrap();
    let rows = rows.iter().map(|row| row.into_inner().unwrap());
    rows.map(|(key, value)| (key.to_vec(), value.to_vec()))
        .collect()
}

#[test]
fn a_large_operation_is_compressed_and_read_back() {
    let folder = TempDir::new().unwrap();
    let operation = operation();
    let mut storage = FjallStorage::open(folder.path()).unwrap();
    storage
        .write(&[Write::Incarnation(Incarnation(7)), append(&operation)])
        .unwrap();
    drop(storage);
    let rows = raw_rows(folder.path());
    let (_, value) = rows.iter().find(|(key, _)| key[0] == b'e').unwrap();
    assert!(value.len() * 3 < operation.len(), "{} bytes", value.len());
    let mut storage = FjallStorage::open(folder.path()).unwrap();
    let entries = storage.load().unwrap().entries;
    assert_eq!(entries[&Revision(1)].operation, operation);
}

/// A version of the program without compression decodes the row as an operation, and must fail to.
#[test]
fn a_compressed_operation_cannot_be_decoded_without_decompression() {
    let folder = TempDir::new().unwrap();
    let mut storage = FjallStorage::open(folder.path()).unwrap();
    storage.write(&[append(&operation())]).unwrap();
    drop(storage);
    for (key, value) in raw_rows(folder.path()) {
        if key[0] == b'e' {
            assert!(postcard::from_bytes::<Entry>(&value).is_err());
        }
    }
}

#[test]
fn a_corrupted_compressed_operation_is_an_error_that_names_its_row() {
    let folder = TempDir::new().unwrap();
    let mut storage = FjallStorage::open(folder.path()).unwrap();
    storage.write(&[append(&operation())]).unwrap();
    drop(storage);
    {
        let database = Database::builder(folder.path()).open().unwrap();
        let rows = database
            .keyspace("chain", KeyspaceCreateOptions::default)
            .unwrap();
        let (key, value) = rows.iter().next().unwrap().into_inner().unwrap();
        let mut corrupted = value.to_vec();
        // The length prefix, which follows the 20-byte compression prefix.
        corrupted[20..24].fill(0xff);
        rows.insert(key, corrupted).unwrap();
        database.persist(fjall::PersistMode::SyncAll).unwrap();
    }
    let Err(error) = FjallStorage::open(folder.path()) else {
        panic!("a corrupted row was read");
    };
    let text = error.to_string();
    assert!(text.starts_with("row e"), "{text}");
    assert!(text.contains("bytes; at most"), "{text}");
}
