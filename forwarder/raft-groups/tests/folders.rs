//! Copied, restored, torn and damaged folders.

// Each test file uses only part of this module.
#[allow(dead_code)]
mod cluster;

use cluster::Cluster;

const TWO_REPLICAS_CONFIG: &str = "[copies]\nkeepers = 2\n";

/// Copies a folder recursively.
fn copy_folder(from: &std::path::Path, to: &std::path::Path) {
    std::fs::create_dir_all(to).unwrap();
    for entry in std::fs::read_dir(from).unwrap() {
        let path = entry.unwrap().path();
        let there = to.join(path.file_name().unwrap());
        match path.is_dir() {
            true => copy_folder(&path, &there),
            false => drop(std::fs::copy(&path, &there).unwrap()),
        }
    }
}

#[test]
fn a_folder_restored_from_a_copy_is_refused_with_one_line() {
    let mut cluster = Cluster::new(3, TWO_REPLICAS_CONFIG);
    let group = cluster.found_event_log(0);
    let copy = tempfile::TempDir::new().unwrap();
    copy_folder(cluster.folders[1].path(), copy.path());
    cluster.commit(0, group, 1, vec![1]);
    cluster.stop(1);
    std::fs::remove_dir_all(cluster.folders[1].path().join("fleet")).unwrap();
    copy_folder(copy.path(), cluster.folders[1].path());
    let refused = cluster
        .try_start(1)
        .err()
        .expect("the start must fail")
        .to_string();
    assert!(
        refused.contains("is a copy") && !refused.contains('\n'),
        "{refused}"
    );
}

/// A snapshot of the complete disk keeps the inode number of the identity file, so only peers can detect that the
/// folder is older.
#[test]
fn a_restored_disk_is_rejected_by_peers_that_know_a_later_start() {
    let mut cluster = Cluster::new(3, TWO_REPLICAS_CONFIG);
    let group = cluster.found_event_log(0);
    cluster.stop(1);
    let path = cluster.folders[1].path().join("fleet/instance");
    let before = std::fs::read(&path).unwrap();
    for _ in 0..2 {
        cluster.start(1);
        cluster.wait_until("the peer is reachable", |cluster| {
            cluster.instance(0).observed.peers.contains_key("i1")
        });
        cluster.stop(1);
        cluster.wait_until("the peer is unreachable", |cluster| {
            !cluster.instance(0).observed.peers.contains_key("i1")
        });
    }
    let identity = plankhill_raft_groups::disk::identity::begin_start(
        &cluster.folders[1].path().join("fleet"),
    )
    .unwrap();
    let mut earlier = identity.clone();
    earlier.start.generation = 1;
    plankhill_raft_groups::disk::identity::store(
        &cluster.folders[1].path().join("fleet"),
        &earlier,
    )
    .unwrap();
    assert!(!before.is_empty());
    cluster.start(1);
    cluster.wait_until("the instance stops", |cluster| {
        cluster.instance(1).handle.fatal_error().is_some()
    });
    let line = cluster.instance(1).handle.fatal_error().unwrap();
    assert!(
        line.contains("is an older copy") && line.contains("knows start"),
        "{line}"
    );
    assert_eq!(cluster.instance(1).log_count("instance may not go on"), 1);
    cluster.commit(0, group, 1, vec![1]);
}

#[test]
fn a_torn_tail_is_truncated_and_damage_before_it_is_an_error() {
    let mut cluster = Cluster::new(3, TWO_REPLICAS_CONFIG);
    let group = cluster.found_event_log(0);
    for number in 1..=5 {
        cluster.commit(0, group, number, vec![number as u8; 100]);
    }
    cluster.stop(1);
    let path = plankhill_raft_groups::disk::group_files::log_path(
        &cluster.folders[1].path().join("fleet"),
        group,
    );
    let intact = std::fs::read(&path).unwrap();
    std::fs::write(&path, [&intact[..], &[9, 0, 0, 0, 1, 2]].concat()).unwrap();
    drop(cluster.try_start(1).unwrap());
    assert_eq!(std::fs::read(&path).unwrap()[..intact.len()], intact);
    let mut damaged = std::fs::read(&path).unwrap();
    damaged[20] ^= 1;
    std::fs::write(&path, damaged).unwrap();
    let refused = cluster
        .try_start(1)
        .err()
        .expect("the start must fail")
        .to_string();
    assert!(refused.contains("is damaged"), "{refused}");
}
