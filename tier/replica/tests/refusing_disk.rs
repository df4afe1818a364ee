//! Disks that reject writes for a while, as a full one does.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use arbtest::arbtest;
use plankhill_chain::{DurableState, Entry, RequestNumber, Snapshot, Storage, Ticket, Write};
use plankhill_disk_health::Backoff;
use plankhill_protocol::ids::{Incarnation, NodeId, Revision};
use plankhill_replica::storage::{open_folder, start_writer, DiskReport, FjallStorage, WriteBatch};
use tempfile::TempDir;
use tokio::sync::watch;

/// How far a write gets before it fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FailurePoint {
    /// Not a byte is written.
    Nothing,
    /// A part of the batch; what opens the disk later leaves it out.
    Half,
    /// Everything is written; its sync fails.
    Sync,
}

/// The content of the disk, seen from outside of the thread.
#[derive(Clone, Default)]
struct DiskContent {
    durable: Arc<Mutex<DurableState>>,
}

#[derive(Debug, thiserror::Error)]
#[error("rejected")]
struct Rejected {
    is_transient: bool,
}

/// Fails from one of its writes on, so many times.
struct RejectingStorage {
    content: DiskContent,
    writes: usize,
    fails_at: usize,
    rejections: usize,
    failure_point: FailurePoint,
    is_transient: bool,
    is_broken: bool,
}

impl RejectingStorage {
    /// Refuses so many times from this write on, for a cause that passes.
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
            is_broken: false,
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
            !self.is_broken,
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
            self.is_broken = true;
            return Err(Rejected {
                is_transient: self.is_transient,
            });
        }
        self.writes += 1;
        Ok(())
    }

    fn recover(&mut self) -> Result<(), Rejected> {
        if self.rejections > 0 && self.failure_point == FailurePoint::Nothing {
            self.rejections -= 1;
            return Err(Rejected {
                is_transient: self.is_transient,
            });
        }
        self.is_broken = false;
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

/// Batches as a member submits them: incarnation, operations, a truncation, a snapshot.
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

/// Submits the batches one by one, each as soon as the one before it is synced; what the thread
/// reported.
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
            FailurePoint::Nothing,
            FailurePoint::Half,
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
        ..RejectingStorage::new(&content, 2, 1, FailurePoint::Half)
    };
    let reports = write_all(storage);
    assert_eq!(reports.last(), Some(&DiskReport::Failed));
    assert_eq!(
        *content.durable.lock().expect("a lock"),
        applied(&batches()[..2])
    );
}

/// Makes the folder of a database look full to the probe.
fn fill(folder: &TempDir) -> std::path::PathBuf {
    let probe = folder.path().join("chain").join("room-probe");
    std::os::unix::fs::symlink("/dev/full", &probe).expect("a symbolic link");
    probe
}

#[test]
fn a_full_disk_can_be_read_and_is_written_again_with_free_space() {
    arbtest(|input| {
        let folder = TempDir::new().expect("a folder");
        let mut storage = open_folder(folder.path(), Incarnation(9), None)
            .expect("a storage")
            .storage;
        let mut expected = DurableState::default();
        for WriteBatch { writes, .. } in batches() {
            if input.arbitrary()? {
                fill(&folder);
                let error = storage.recover().expect_err("no room");
                assert!(FjallStorage::is_transient(&error));
                assert_eq!(storage.load().expect("readable").entries, expected.entries);
                // The probe has removed its file, and with it what stood for the full disk.
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
