//! Opens a state folder that was written by an earlier controller in service.
//!
//! The folder contains a snapshot at revision 512 and operations up to revision 520: a
//! configuration of version 5, the target `i-1`, the edge `edge-1`, three stores and a drain order
//! that takes no edge out of service.

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

/// Timeout for the only member of a chain to become current; sufficient on a busy machine.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(20);
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

/// Returns a copy of the fixture, because opening a folder changes its files.
fn copy_of_controller_folder() -> TempDir {
    let folder = TempDir::new().expect("a folder");
    let fixture = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/stored_format/controller");
    copy_folder(&fixture, folder.path());
    folder
}

#[test]
fn the_storage_reads_the_folder_of_a_controller() {
    let folder = copy_of_controller_folder();
    let opened = open_folder(folder.path(), Incarnation(1), None).expect("opens");
    let durable = opened.durable;
    assert_eq!(durable.incarnation, Some(INCARNATION));
    assert_eq!(durable.view.chain, [NodeId::from("core-1")]);
    assert_eq!(durable.snapshot.revision, Revision(512));
    let revisions: Vec<u64> = durable.entries.keys().map(|revision| revision.0).collect();
    assert_eq!(revisions, (513..=NEWEST.0).collect::<Vec<_>>());
    assert!(!durable.snapshot.machine.is_empty());
}

#[test]
fn a_controller_reads_its_state_from_its_folder() {
    let folder = copy_of_controller_folder();
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
        // A member that has just started has not yet confirmed its state, so reads fail at first.
        let mut current = log.watch_current();
        let confirmed =
            tokio::time::timeout(STARTUP_TIMEOUT, current.wait_for(|current| *current)).await;
        confirmed
            .expect("current in time")
            .expect("the member runs");
        let read = log.read(STARTUP_TIMEOUT).await;
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
