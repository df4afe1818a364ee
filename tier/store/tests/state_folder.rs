//! Tests of opening a store's state folder: empty, existing, partly created, unreadable.

use std::fs;
use std::path::Path;

use plankhill_protocol::ids::Incarnation;
use plankhill_store::storage::open_state_folder;

const FIRST: Incarnation = Incarnation(1);
const SECOND: Incarnation = Incarnation(2);

async fn incarnation(folder: &Path, new_incarnation: Incarnation) -> Incarnation {
    open_state_folder(folder, new_incarnation).await.incarnation
}

#[tokio::test]
async fn a_reopened_folder_has_the_same_incarnation() {
    let folder = tempfile::tempdir().expect("a folder");
    let data = folder.path().join("not/yet/there");
    assert_eq!(incarnation(&data, FIRST).await, FIRST);
    assert_eq!(incarnation(&data, SECOND).await, FIRST);
}

#[tokio::test]
async fn a_folder_without_its_ready_file_is_treated_as_empty() {
    let folder = tempfile::tempdir().expect("a folder");
    assert_eq!(incarnation(folder.path(), FIRST).await, FIRST);
    fs::remove_file(folder.path().join("ready")).expect("a file");
    assert_eq!(incarnation(folder.path(), SECOND).await, SECOND);
}

#[tokio::test]
async fn an_unreadable_database_is_treated_as_empty() {
    let folder = tempfile::tempdir().expect("a folder");
    assert_eq!(incarnation(folder.path(), FIRST).await, FIRST);
    truncate_files(&folder.path().join("rows"));
    assert_eq!(incarnation(folder.path(), SECOND).await, SECOND);
    assert_eq!(incarnation(folder.path(), FIRST).await, SECOND);
}

fn truncate_files(folder: &Path) {
    for entry in fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            truncate_files(&path);
        } else {
            fs::write(&path, b"").expect("a file");
        }
    }
}
