//! Tests of the contract that every storage must fulfil.

mod folders;
#[path = "simulation/memory_storage.rs"]
mod memory_storage;

use std::future::Future;
use std::path::Path;
use std::time::Duration;

use folders::copy_folder;
use memory_storage::MemoryStorage;
use plankhill_conversations::rows::{RowChange, Table};
use plankhill_store::storage::{FjallStorage, Storage};
use tokio::task::LocalSet;

fn row(key: &str, value: &str) -> RowChange {
    RowChange {
        table: Table::Turns,
        key: key.as_bytes().to_vec(),
        value: Some(value.as_bytes().to_vec()),
    }
}

fn read(storage: &impl Storage, table: Table, key: &str) -> Option<String> {
    let value = storage
        .read(table, key.as_bytes())
        .expect("a readable disk");
    value.map(|value| String::from_utf8(value).expect("text"))
}

fn keys(storage: &impl Storage, table: Table) -> Vec<String> {
    let mut keys = Vec::new();
    let mut visit = |key: &[u8], _: &[u8]| keys.push(String::from_utf8_lossy(key).into_owned());
    storage.scan(table, &mut visit).expect("a readable disk");
    keys
}

/// Checks the behaviour of an open storage.
async fn check_contract(storage: impl Storage) {
    a_row_is_readable_after_its_commit(&storage).await;
    a_removed_row_is_absent(&storage).await;
    tables_are_separate(&storage).await;
    scans_are_ordered_by_key(&storage).await;
    commits_complete_in_the_order_of_their_calls(&storage).await;
    a_commit_completes_if_its_future_is_dropped(&storage).await;
}

async fn a_row_is_readable_after_its_commit(storage: &impl Storage) {
    storage
        .commit(vec![row("one", "first"), row("two", "second")])
        .await
        .expect("a commit");
    assert_eq!(read(storage, Table::Turns, "one").as_deref(), Some("first"));
    storage
        .commit(vec![row("one", "changed")])
        .await
        .expect("a commit");
    assert_eq!(
        read(storage, Table::Turns, "one").as_deref(),
        Some("changed")
    );
    assert_eq!(read(storage, Table::Turns, "on"), None);
}

async fn a_removed_row_is_absent(storage: &impl Storage) {
    let removals = vec![
        RowChange::remove(Table::Turns, b"one".to_vec()),
        RowChange::remove(Table::Turns, b"never there".to_vec()),
    ];
    storage.commit(removals).await.expect("a commit");
    assert_eq!(read(storage, Table::Turns, "one"), None);
    assert_eq!(
        read(storage, Table::Turns, "two").as_deref(),
        Some("second")
    );
}

async fn tables_are_separate(storage: &impl Storage) {
    for table in Table::ALL {
        let value = format!("{table:?}").into_bytes();
        let change = RowChange {
            table,
            key: b"same".to_vec(),
            value: Some(value),
        };
        storage.commit(vec![change]).await.expect("a commit");
    }
    for table in Table::ALL {
        assert_eq!(read(storage, table, "same"), Some(format!("{table:?}")));
    }
    assert_eq!(keys(storage, Table::Hints), ["same"]);
}

async fn scans_are_ordered_by_key(storage: &impl Storage) {
    storage
        .commit(vec![row("b", ""), row("a", ""), row("", ""), row("ab", "")])
        .await
        .expect("a commit");
    assert_eq!(
        keys(storage, Table::Turns),
        ["", "a", "ab", "b", "same", "two"]
    );
}

async fn commits_complete_in_the_order_of_their_calls(storage: &impl Storage) {
    let first = storage.commit(vec![row("order", "1")]);
    let second = storage.commit(vec![row("order", "2")]);
    let barrier = storage.commit(Vec::new());
    barrier.await.expect("a commit");
    assert_eq!(read(storage, Table::Turns, "order").as_deref(), Some("2"));
    second.await.expect("a commit");
    first.await.expect("a commit");
}

async fn a_commit_completes_if_its_future_is_dropped(storage: &impl Storage) {
    drop(storage.commit(vec![row("dropped", "kept")]));
    storage.commit(Vec::new()).await.expect("a commit");
    assert_eq!(
        read(storage, Table::Turns, "dropped").as_deref(),
        Some("kept")
    );
}

fn run<T>(scenario: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), scenario)
}

#[test]
fn memory_storage_fulfils_the_contract() {
    run_in_virtual_time(check_contract(MemoryStorage::new(Duration::from_millis(5))));
}

#[test]
fn fjall_storage_fulfils_the_contract() {
    let folder = tempfile::tempdir().expect("a folder");
    run(async { check_contract(FjallStorage::open(folder.path()).expect("a database")).await });
}

#[test]
fn fjall_storage_has_synced_rows_after_reopening() {
    let folder = tempfile::tempdir().expect("a folder");
    run(async {
        let storage = FjallStorage::open(folder.path()).expect("a database");
        storage
            .commit(vec![row("kept", "value")])
            .await
            .expect("a commit");
        storage
            .commit(vec![RowChange::remove(Table::Turns, b"gone".to_vec())])
            .await
            .expect("a commit");
        // The copy has the files that a new process finds after this one was killed.
        let copy = tempfile::tempdir().expect("a folder");
        copy_folder(folder.path(), copy.path());
        let again = FjallStorage::open(copy.path()).expect("a database");
        assert_eq!(read(&again, Table::Turns, "kept").as_deref(), Some("value"));
    });
}

#[test]
fn fjall_storage_has_synced_rows_before_a_torn_journal_entry() {
    let folder = tempfile::tempdir().expect("a folder");
    run(async {
        let storage = FjallStorage::open(folder.path()).expect("a database");
        storage
            .commit(vec![row("kept", "value")])
            .await
            .expect("a commit");
        let copy = tempfile::tempdir().expect("a folder");
        copy_folder(folder.path(), copy.path());
        storage
            .commit(vec![row("torn", &"x".repeat(5_000))])
            .await
            .expect("a commit");
        let torn = tempfile::tempdir().expect("a folder");
        copy_folder(folder.path(), torn.path());
        let torn_files = tear_newer_files(copy.path(), torn.path());
        assert!(torn_files > 0, "nothing was torn");
        let again = FjallStorage::open(torn.path()).expect("a database");
        assert_eq!(read(&again, Table::Turns, "kept").as_deref(), Some("value"));
        assert_eq!(read(&again, Table::Turns, "torn"), None);
    });
}

/// Truncates each file of `newer` that has changed since `older` within its added bytes, and overwrites some
/// of the remaining added bytes. Returns the number of these files.
fn tear_newer_files(older: &Path, newer: &Path) -> usize {
    let mut torn = 0;
    for entry in std::fs::read_dir(newer).expect("a folder") {
        let path = entry.expect("an entry").path();
        let before = older.join(path.file_name().expect("a name"));
        if path.is_dir() {
            torn += tear_newer_files(&before, &path);
            continue;
        }
        let old = std::fs::read(&before).unwrap_or_default();
        let mut new = std::fs::read(&path).expect("a file");
        let same = old
            .iter()
            .zip(&new)
            .take_while(|(old, new)| old == new)
            .count();
        if same == new.len() {
            continue;
        }
        let added = new[same..]
            .iter()
            .rposition(|byte| *byte != 0)
            .map_or(0, |last| last + 1);
        new[same + added / 2..same + added].fill(0xa5);
        new.truncate(same + added * 3 / 4);
        std::fs::write(&path, new).expect("a file");
        torn += 1;
    }
    torn
}

/// Runs a scenario in virtual time.
fn run_in_virtual_time<T>(scenario: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), scenario)
}
