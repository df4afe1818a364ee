//! Tests of the backoff and of the free-space check.

use std::time::Duration;

use plankhill_disk_health::{check_free_space, Backoff};

#[test]
fn delays_double_up_to_the_maximum() {
    let mut backoff = Backoff::default();
    let delays: Vec<u64> = (0..7)
        .map(|_| backoff.next_delay().as_millis() as u64)
        .collect();
    assert_eq!(delays, [100, 200, 400, 800, 1_600, 2_000, 2_000]);
    assert_eq!(Backoff::default().next_delay(), Duration::from_millis(100));
}

#[test]
fn a_folder_with_free_space_is_left_unchanged() {
    let folder = tempfile::tempdir().expect("a folder");
    assert!(check_free_space(folder.path()).is_ok());
    assert_eq!(
        std::fs::read_dir(folder.path()).expect("a folder").count(),
        0
    );
}

#[test]
fn a_folder_that_accepts_no_writes_is_reported() {
    let folder = tempfile::tempdir().expect("a folder");
    assert!(check_free_space(&folder.path().join("missing")).is_err());
    // The check file is a link to a device on which every write fails as on a full disk.
    std::os::unix::fs::symlink("/dev/full", folder.path().join("room-probe")).expect("a link");
    let error = check_free_space(folder.path()).expect_err("no free space");
    assert_eq!(error.kind(), std::io::ErrorKind::StorageFull);
}
