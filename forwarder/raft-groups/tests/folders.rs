//! Folders that are copies, put back, torn or damaged.

// Not all of it is used by each test.
#[allow(dead_code)]
mod cluster;

use cluster::Cluster;

const COPIES: &str = "[copies]\nkeepers = 2\n";

/// Copies a folder with all that is in it.
fn copied(from: &std::path::Path, to: &std::path::Path) {
    std::fs::create_dir_all(to).unwrap();
    for entry in std::fs::read_dir(from).unwrap() {
        let path = entry.unwrap().path();
        let there = to.join(path.file_name().unwrap());
        match path.is_dir() {
            true => copied(&path, &there),
            false => drop(std::fs::copy(&path, &there).unwrap()),
        }
    }
}

#[test]
fn a_folder_restored_from_a_copy_is_refused_with_one_line() {
    let mut all = Cluster::new(3, COPIES);
    let group = all.record(0);
    let copy = tempfile::TempDir::new().unwrap();
    copied(all.folders[1].path(), copy.path());
    all.commit(0, group, 1, vec![1]);
    all.stop(1);
    std::fs::remove_dir_all(all.folders[1].path().join("fleet")).unwrap();
    copied(copy.path(), all.folders[1].path());
    let refused = all.started(1).err().expect("it is not started").to_string();
    assert!(
        refused.contains("is a copy") && !refused.contains('\n'),
        "{refused}"
    );
}

/// A snapshot of a whole disk keeps the file's number: then it is the others who know better.
#[test]
fn a_disk_put_back_is_refused_by_peers_that_know_a_later_start() {
    let mut all = Cluster::new(3, COPIES);
    let group = all.record(0);
    all.stop(1);
    let path = all.folders[1].path().join("fleet/instance");
    let before = std::fs::read(&path).unwrap();
    for _ in 0..2 {
        all.start(1);
        all.until("it is there", |all| all.at(0).heard.up.contains_key("i1"));
        all.stop(1);
        all.until("it has gone", |all| !all.at(0).heard.up.contains_key("i1"));
    }
    let identity =
        plankhill_raft_groups::disk::identity::begin_start(&all.folders[1].path().join("fleet"))
            .unwrap();
    let mut earlier = identity.clone();
    earlier.start.generation = 1;
    plankhill_raft_groups::disk::identity::store(&all.folders[1].path().join("fleet"), &earlier)
        .unwrap();
    assert!(!before.is_empty());
    all.start(1);
    all.until("it is refused", |all| {
        all.at(1).handle.fatal_error().is_some()
    });
    let line = all.at(1).handle.fatal_error().unwrap();
    assert!(
        line.contains("is an older copy") && line.contains("knows start"),
        "{line}"
    );
    assert_eq!(all.at(1).lines("instance may not go on"), 1);
    all.commit(0, group, 1, vec![1]);
}

#[test]
fn a_torn_end_is_cut_off_and_damage_before_it_is_an_error() {
    let mut all = Cluster::new(3, COPIES);
    let group = all.record(0);
    for number in 1..=5 {
        all.commit(0, group, number, vec![number as u8; 100]);
    }
    all.stop(1);
    let path = plankhill_raft_groups::disk::group_files::log_path(
        &all.folders[1].path().join("fleet"),
        group,
    );
    let whole = std::fs::read(&path).unwrap();
    std::fs::write(&path, [&whole[..], &[9, 0, 0, 0, 1, 2]].concat()).unwrap();
    drop(all.started(1).unwrap());
    assert_eq!(std::fs::read(&path).unwrap()[..whole.len()], whole);
    let mut damaged = std::fs::read(&path).unwrap();
    damaged[20] ^= 1;
    std::fs::write(&path, damaged).unwrap();
    let refused = all.started(1).err().expect("it is not started").to_string();
    assert!(refused.contains("is damaged"), "{refused}");
}
