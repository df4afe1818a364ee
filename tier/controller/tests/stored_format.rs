//! A state folder as a controller in service wrote it, opened by this text.
//!
//! The folder holds a snapshot at revision 512 and operations up to revision 520: a configuration
//! of version 5, the target `i-1`, the edge `edge-1`, three stores and an order that takes nothing
//! out of service.

mod common;

use std::path::{Path, PathBuf};
use std::time::Duration;

use common::{configuration, edge, heartbeat, store};
use plankhill_control::ControlState;
use plankhill_controller::admin::parse_heartbeat;
use plankhill_protocol::ids::{Incarnation, InstanceId, NodeId, Revision};
use plankhill_replica::storage::open_folder;
use plankhill_replica::{start, ReplicaHandle, ReplicaSettings};
use tempfile::TempDir;

/// Time for the only member of a chain to take up its work, on a busy machine.
const PATIENCE: Duration = Duration::from_secs(20);
/// The newest revision in the folder.
const NEWEST: Revision = Revision(520);
const INCARNATION: Incarnation = Incarnation(10_921_101_503_624_873_696);

fn copy_folder(from: &Path, to: &Path) {
    std::fs::create_dir_all(to).expect("a folder");
    for entry in std::fs::read_dir(from)
        .expect("a folder")
        .map(|entry| entry.expect("an entry"))
    {
        let destination = to.join(entry.file_name());
        if entry.path().is_dir() {
            copy_folder(&entry.path(), &destination);
        } else {
            std::fs::copy(entry.path(), destination).expect("a copy");
        }
    }
}

/// The fixture, copied: opening a folder changes its files.
fn folder_of_a_controller() -> TempDir {
    let folder = TempDir::new().expect("a folder");
    let fixture = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/stored_format/controller");
    copy_folder(&fixture, folder.path());
    folder
}

#[test]
fn the_storage_finds_what_a_controller_wrote() {
    let folder = folder_of_a_controller();
    let opened = open_folder(folder.path(), Incarnation(1), None).expect("opens");
    let held = opened.durable;
    assert_eq!(held.incarnation, Some(INCARNATION));
    assert_eq!(held.view.chain, [NodeId::from("core-1")]);
    assert_eq!(held.snapshot.revision, Revision(512));
    let revisions: Vec<u64> = held.entries.keys().map(|revision| revision.0).collect();
    assert_eq!(revisions, (513..=NEWEST.0).collect::<Vec<_>>());
    assert!(!held.snapshot.machine.is_empty());
}

#[test]
fn a_controller_finds_the_configuration_and_the_target_in_its_folder() {
    let folder = folder_of_a_controller();
    let address = ([127, 0, 0, 1], 7_100).into();
    let settings = ReplicaSettings {
        node: NodeId::from("core-1"),
        address,
        folder: folder.path().to_path_buf(),
        seeds: vec![address],
        bootstrap: false,
        tolerated_faults: 0,
    };
    common::block_on(async {
        let log: ReplicaHandle<ControlState> = start(settings).expect("starts");
        // Cut off for a moment: a member that starts has confirmed nothing yet.
        let mut current = log.watch_current();
        let confirmed = tokio::time::timeout(PATIENCE, current.wait_for(|current| *current)).await;
        confirmed
            .expect("current in time")
            .expect("the member runs");
        let read = log.read(PATIENCE).await;
        log.abort();
        log.ended().await;
        let committed = read.expect("a member that is the whole chain");
        assert!(committed.revision >= NEWEST, "{:?}", committed.revision);
        let state = &committed.state;
        let current = state.configuration().expect("a configuration");
        assert_eq!(current.version, 5);
        assert_eq!(&*current.document, configuration(5).as_bytes());
        let id = InstanceId::from("i-1");
        let target =
            parse_heartbeat(id.clone(), heartbeat("healthy", 515).as_bytes()).expect("a report");
        assert_eq!(
            state.targets().get(&id).map(|target| &**target),
            Some(&target)
        );
        assert_eq!(
            state
                .edges()
                .get(&NodeId::from("edge-1"))
                .map(|edge| &**edge),
            Some(&edge("edge-1", 7))
        );
        assert_eq!(
            state.stores().view().serving,
            [1, 2, 3].map(|number| store(&format!("s{number}"), number))
        );
    });
}
