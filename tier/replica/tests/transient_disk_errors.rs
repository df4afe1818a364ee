//! Tests of disks that temporarily reject writes, for example because they are full.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use arbtest::arbtest;
use plankhill_chain::{DurableState, Entry, RequestNumber, Snapshot, Storage, Ticket, Write};
use plankhill_disk_health::Backoff;
use plankhill_protocol::ids::{Incarnation, NodeId, Revision};
use plankhill_replica::storage::{open_folder, start_writer, DiskReport, FjallStorage, WriteBatch};
use tempfile::TempDir;
use tokio::sync::watch;

/// The point at which a write fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FailurePoint {
    /// Before the first byte is written.
    BeforeWrite,
    /// After a part of the batch is written; recovery discards that part.
    PartialWrite,
    /// In the sync, after all bytes are written.
    Sync,
}

/// The content of the disk, shared between the writer thread and the test.
#[derive(Clone, Default)]
struct DiskContent {
    durable: Arc<Mutex<DurableState>>,
}

#[derive(Debug, thiserror::Error)]
#[error("rejected")]
struct Rejected {
    is_transient: bool,
}

/// A storage whose operations fail `rejections` times, from write number `fails_at` on.
struct RejectingStorage {
    content: DiskContent,
    writes: usize,
    fails_at: usize,
    rejections: usize,
    failure_point: FailurePoint,
    is_transient: bool,
    needs_recovery: bool,
}

impl RejectingStorage {
    /// Creates a storage whose errors are transient.
    fn new(
        content: &DiskContent,
        fails_at: usize,
        rejections: usize,
        failure_point: FailurePoint,
    ) -> Self {
        let content = content.clone();
        RejectingStorage {
            content,
            writes: 0,
            fails_at,
            rejections,
            failure_point,
            is_transient: true,
            needs_recovery: false,
        }
    }
}

impl Storage for RejectingStorage {
    type Error = Rejected;

    fn load(&mut self) -> Result<DurableState, Rejected> {
        Ok(self.content.durable.lock().expect("a lock").clone())
    }

    fn write(&mut self, changes: &[Write]) -> Result<(), Rejected> {
        assert!(
            !self.needs_recovery,
            "a storage that failed is used without having recovered"
        );
        let fails = self.writes >= self.fails_at && self.rejections > 0;
        if !fails || self.failure_point == FailurePoint::Sync {
            let mut durable = self.content.durable.lock().expect("a lock");
            for change in changes {
                durable.apply(change);
            }
        }
        if fails {
            self.rejections -= 1;
            self.needs_recovery = true;
            return Err(Rejected {
                is_transient: self.is_transient,
            });
        }
        self.writes += 1;
        Ok(())
    }

    fn recover(&mut self) -> Result<(), Rejected> {
        if self.rejections > 0 && self.failure_point == FailurePoint::BeforeWrite {
            self.rejections -= 1;
            return Err(Rejected {
                is_transient: self.is_transient,
            });
        }
        self.needs_recovery = false;
        Ok(())
    }

    fn is_transient(error: &Rejected) -> bool {
        error.is_transient
    }
}

fn append(revision: u64) -> Write {
    let entry = Entry {
        request: RequestNumber(revision.into()),
        origin: NodeId::from("a"),
        operation: revision.to_le_bytes().to_vec().into(),
    };
    Write::Append {
        revision: Revision(revision),
        entry,
    }
}

/// Returns batches like those of a member: an incarnation, operations, a truncation, a snapshot.
fn batches() -> Vec<WriteBatch> {
    let snapshot = Snapshot {
        revision: Revision(3),
        machine: vec![7; 40].into(),
        outcomes: Vec::new(),
    };
    let writes = [
        vec![Write::Incarnation(Incarnation(9))],
        vec![append(1), Write::Committed(Revision(0))],
        vec![append(2), append(3)],
        vec![Write::Truncate(Revision(2)), append(3)],
        vec![Write::Snapshot(snapshot), Write::Committed(Revision(3))],
        vec![append(4), Write::Committed(Revision(4))],
    ];
    let tickets = (1..).map(Ticket);
    tickets
        .zip(writes)
        .map(|(ticket, writes)| WriteBatch { ticket, writes })
        .collect()
}

fn applied(batches: &[WriteBatch]) -> DurableState {
    let mut durable = DurableState::default();
    for write in batches.iter().flat_map(|batch| &batch.writes) {
        durable.apply(write);
    }
    durable
}

/// Submits each batch once the previous one is synced, and returns the reports of the thread.
fn write_all(storage: RejectingStorage) -> Vec<DiskReport> {
    let (in_use, _) = watch::channel(());
    let backoff = Backoff::with_initial_delay(Duration::ZERO);
    let mut writer = start_writer(storage, in_use, backoff).expect("a thread");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("a runtime");
    let mut reports = Vec::new();
    for batch in batches() {
        if writer.submit(batch).is_err() {
            break;
        }
        while let Some(report) = runtime.block_on(writer.next_report()) {
            reports.push(report);
            if report != DiskReport::Rejected {
                break;
            }
        }
    }
    reports
}

#[test]
fn rejected_batches_are_written_later_in_order() {
    for fails_at in 0..batches().len() {
        for failure_point in [
            FailurePoint::BeforeWrite,
            FailurePoint::PartialWrite,
            FailurePoint::Sync,
        ] {
            for rejections in 1..4 {
                let content = DiskContent::default();
                let storage = RejectingStorage::new(&content, fails_at, rejections, failure_point);
                let reports = write_all(storage);
                let synced: Vec<_> = reports
                    .iter()
                    .filter(|report| **report != DiskReport::Rejected)
                    .copied()
                    .collect();
                let expected: Vec<_> = (1..=6)
                    .map(|ticket| DiskReport::Synced(Ticket(ticket)))
                    .collect();
                assert_eq!(
                    synced, expected,
                    "{fails_at} {failure_point:?} {rejections}"
                );
                assert_eq!(
                    reports[fails_at],
                    DiskReport::Rejected,
                    "reported before the batch is synced"
                );
                assert_eq!(
                    *content.durable.lock().expect("a lock"),
                    applied(&batches())
                );
            }
        }
    }
}

#[test]
fn a_permanent_disk_error_stops_the_writer() {
    let content = DiskContent::default();
    let storage = RejectingStorage {
        is_transient: false,
        ..RejectingStorage::new(&content, 2, 1, FailurePoint::PartialWrite)
    };
    let reports = write_all(storage);
    assert_eq!(reports.last(), Some(&DiskReport::Failed));
    assert_eq!(
        *content.durable.lock().expect("a lock"),
        applied(&batches()[..2])
    );
}

/// Makes the free-space probe fail with an error of a full disk in the folder of the database.
fn simulate_full_disk(folder: &TempDir) -> std::path::PathBuf {
    let probe = folder.path().join("chain").join("room-probe");
    std::os::unix::fs::symlink("/dev/full", &probe).expect("a symbolic link");
    probe
}

#[test]
fn a_full_disk_is_readable_and_accepts_writes_after_recovery() {
    arbtest(|input| {
        let folder = TempDir::new().expect("a folder");
        let mut storage = open_folder(folder.path(), Incarnation(9), None)
            .expect("a storage")
            .storage;
        let mut expected = DurableState::default();
        for WriteBatch { writes, .. } in batches() {
            if input.arbitrary()? {
                simulate_full_disk(&folder);
                let error = storage.recover().expect_err("no room");
                assert!(FjallStorage::is_transient(&error));
                assert_eq!(storage.load().expect("readable").entries, expected.entries);
                // The failed probe has removed its file, which is the link to `/dev/full`.
                storage.recover().expect("room again");
            }
            storage.write(&writes).expect("written");
            for write in &writes {
                expected.apply(write);
            }
            assert_eq!(storage.load().expect("readable"), expected);
        }
        Ok(())
    })
    .budget_ms(1_500);
}

#[test]
fn a_replaced_disk_is_not_reopened() {
    let folder = TempDir::new().expect("a folder");
    let mut storage = open_folder(folder.path(), Incarnation(9), None)
        .expect("a storage")
        .storage;
    std::fs::remove_dir_all(folder.path().join("chain")).expect("removed");
    std::fs::create_dir(folder.path().join("chain")).expect("made");
    let error = storage.recover().expect_err("another disk");
    assert!(!FjallStorage::is_transient(&error), "{error}");
    let error = storage.write(&[append(1)]).expect_err("closed");
    assert!(FjallStorage::is_transient(&error), "{error}");
}
