//! A member whose disk cannot be opened at its start.

mod common;

use std::time::Duration;

use common::Words;
use plankhill_protocol::ids::NodeId;
use plankhill_replica::{start, ReplicaSettings};
use tempfile::TempDir;

/// A file lies where the folder has to be made, and is taken away later.
#[tokio::test(flavor = "current_thread")]
async fn a_member_whose_disk_cannot_be_opened_says_so_at_once_and_starts_when_it_can() {
    let parent = TempDir::new().expect("a folder");
    let in_the_way = parent.path().join("data");
    std::fs::write(&in_the_way, "").expect("a file");
    let address = ([127, 0, 0, 1], 1).into();
    let settings = ReplicaSettings {
        node: NodeId::from("a"),
        address,
        folder: in_the_way.join("chain"),
        seeds: vec![address],
        bootstrap: true,
        tolerated_faults: 0,
    };
    let log = start::<Words>(settings).expect("a handle");
    let patience = Duration::from_secs(600);
    assert!(log.propose("early".into(), patience).await.is_err());
    assert!(log.read(patience).await.is_err());
    assert!(!log.is_current());
    std::fs::remove_file(&in_the_way).expect("removed");
    let mut standing = log.watch_status();
    standing
        .wait_for(|standing| standing.is_head)
        .await
        .expect("a member");
    assert_eq!(log.propose("word".into(), patience).await, Ok(1));
}
