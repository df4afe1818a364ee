//! Tests a replica whose disk cannot be opened at startup.

mod common;

use std::time::Duration;

use common::WordList;
use plankhill_protocol::ids::NodeId;
use plankhill_replica::{start, ReplicaSettings};
use tempfile::TempDir;

/// The data folder cannot be created because its parent path is a file. The test removes the file
/// later.
#[tokio::test(flavor = "current_thread")]
async fn a_replica_whose_disk_cannot_be_opened_fails_calls_at_once_and_starts_later() {
    let parent = TempDir::new().expect("a folder");
    let blocking_file = parent.path().join("data");
    std::fs::write(&blocking_file, "").expect("a file");
    let address = ([127, 0, 0, 1], 1).into();
    let settings = ReplicaSettings {
        node: NodeId::from("a"),
        address,
        folder: blocking_file.join("chain"),
        seeds: vec![address],
        bootstrap: true,
        tolerated_faults: 0,
    };
    let handle = start::<WordList>(settings).expect("a handle");
    let timeout = Duration::from_secs(600);
    assert!(handle.propose("early".into(), timeout).await.is_err());
    assert!(handle.read(timeout).await.is_err());
    assert!(!handle.is_current());
    std::fs::remove_file(&blocking_file).expect("removed");
    let mut status = handle.watch_status();
    status
        .wait_for(|status| status.is_head)
        .await
        .expect("a member");
    assert_eq!(handle.propose("word".into(), timeout).await, Ok(1));
}
