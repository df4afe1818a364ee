//! Disks that refuse to write for a while, as a full one does.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use arbtest::arbtest;
use plankhill_chain::{Durable, Entry, RequestNumber, Snapshot, Storage, Ticket, Write};
use plankhill_disk_health::Backoff;
use plankhill_protocol::ids::{Incarnation, NodeId, Revision};
use plankhill_replica::storage::{open_folder, start_writer, Batch, FjallStorage, Written};
use tempfile::TempDir;
use tokio::sync::{mpsc, watch};

/// How far a write gets before it fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reached {
    /// Not a byte is written.
    Nothing,
    /// A part of the batch; what opens the disk later leaves it out.
    Half,
    /// Everything is written; its sync fails.
    Sync,
}

/// The disk, seen from outside of the thread.
#[derive(Clone, Default)]
struct Seen {
    held: Arc<Mutex<Durable>>,
}

#[derive(Debug, thiserror::Error)]
#[error("refused")]
struct Refused {
    passes: bool,
}

/// Fails from one of its writes on, so many times.
struct RefusingStorage {
    seen: Seen,
    writes: usize,
    fails_at: usize,
    refusals: usize,
    reached: Reached,
    passes: bool,
    is_broken: bool,
}

impl RefusingStorage {
    /// Refuses so many times from this write on, for a cause that passes.
    fn new(seen: &Seen, fails_at: usize, refusals: usize, reached: Reached) -> Self {
        let seen = seen.clone();
        RefusingStorage {
            seen,
            writes: 0,
            fails_at,
            refusals,
            reached,
            passes: true,
            is_broken: false,
        }
    }
}

impl Storage for RefusingStorage {
    type Error = Refused;

    fn load(&mut self) -> Result<Durable, Refused> {
        Ok(self.seen.held.lock().expect("a lock").clone())
    }

    fn write(&mut self, changes: &[Write]) -> Result<(), Refused> {
        assert!(
            !self.is_broken,
            "a storage that failed is used without having recovered"
        );
        let fails = self.writes >= self.fails_at && self.refusals > 0;
        if !fails || self.reached == Reached::Sync {
            let mut held = self.seen.held.lock().expect("a lock");
            changes.iter().for_each(|change| held.apply(change));
        }
        if fails {
            self.refusals -= 1;
            self.is_broken = true;
            return Err(Refused {
                passes: self.passes,
            });
        }
        self.writes += 1;
        Ok(())
    }

    fn recover(&mut self) -> Result<(), Refused> {
        if self.refusals > 0 && self.reached == Reached::Nothing {
            self.refusals -= 1;
            return Err(Refused {
                passes: self.passes,
            });
        }
        self.is_broken = false;
        Ok(())
    }

    fn may_pass(error: &Refused) -> bool {
        error.passes
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

/// Batches as a member hands them over: a beginning, operations, a cut, a snapshot.
fn batches() -> Vec<Batch> {
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
    (1..).map(Ticket).zip(writes).collect()
}

fn applied(batches: &[Batch]) -> Durable {
    let mut held = Durable::default();
    batches
        .iter()
        .flat_map(|(_, writes)| writes)
        .for_each(|write| held.apply(write));
    held
}

/// Hands the batches over one by one, each as soon as the one before it is synced; what the thread told.
fn write_all(storage: RefusingStorage) -> Vec<Written> {
    let (report, mut written) = mpsc::unbounded_channel();
    let (in_use, _) = watch::channel(());
    let pauses = Backoff::with_initial_delay(Duration::ZERO);
    let queue = start_writer(storage, report, in_use, pauses).expect("a thread");
    let mut told = Vec::new();
    for batch in batches() {
        if queue.send(batch).is_err() {
            break;
        }
        while let Some(news) = written.blocking_recv() {
            told.push(news);
            if news != Written::Refused {
                break;
            }
        }
    }
    told
}

#[test]
fn whichever_write_is_refused_everything_is_written_in_order() {
    for fails_at in 0..batches().len() {
        for reached in [Reached::Nothing, Reached::Half, Reached::Sync] {
            for refusals in 1..4 {
                let seen = Seen::default();
                let storage = RefusingStorage::new(&seen, fails_at, refusals, reached);
                let told = write_all(storage);
                let synced: Vec<_> = told
                    .iter()
                    .filter(|news| **news != Written::Refused)
                    .copied()
                    .collect();
                let expected: Vec<_> = (1..=6)
                    .map(|ticket| Written::Synced(Ticket(ticket)))
                    .collect();
                assert_eq!(synced, expected, "{fails_at} {reached:?} {refusals}");
                assert_eq!(
                    told[fails_at],
                    Written::Refused,
                    "told before the batch is synced"
                );
                assert_eq!(*seen.held.lock().expect("a lock"), applied(&batches()));
            }
        }
    }
}

#[test]
fn a_disk_that_cannot_get_well_ends_the_thread() {
    let seen = Seen::default();
    let storage = RefusingStorage {
        passes: false,
        ..RefusingStorage::new(&seen, 2, 1, Reached::Half)
    };
    let told = write_all(storage);
    assert_eq!(told.last(), Some(&Written::Failed));
    assert_eq!(*seen.held.lock().expect("a lock"), applied(&batches()[..2]));
}

/// Makes the folder of a database look full to the probe.
fn fill(folder: &TempDir) -> std::path::PathBuf {
    let probe = folder.path().join("chain").join("room-probe");
    std::os::unix::fs::symlink("/dev/full", &probe).expect("a link");
    probe
}

#[test]
fn a_database_is_read_while_the_disk_is_full_and_written_again_afterwards() {
    arbtest(|input| {
        let folder = TempDir::new().expect("a folder");
        let mut storage = open_folder(folder.path(), Incarnation(9), None)
            .expect("a storage")
            .storage;
        let mut expected = Durable::default();
        for (_, writes) in batches() {
            if input.arbitrary()? {
                fill(&folder);
                let error = storage.recover().expect_err("no room");
                assert!(FjallStorage::may_pass(&error));
                assert_eq!(storage.load().expect("readable").entries, expected.entries);
                // The probe has removed its file, and with it what stood for the full disk.
                storage.recover().expect("room again");
            }
            storage.write(&writes).expect("written");
            writes.iter().for_each(|write| expected.apply(write));
            assert_eq!(storage.load().expect("readable"), expected);
        }
        Ok(())
    })
    .budget_ms(1_500);
}

#[test]
fn another_disk_in_its_place_is_not_taken_for_the_one_that_failed() {
    let folder = TempDir::new().expect("a folder");
    let mut storage = open_folder(folder.path(), Incarnation(9), None)
        .expect("a storage")
        .storage;
    std::fs::remove_dir_all(folder.path().join("chain")).expect("removed");
    std::fs::create_dir(folder.path().join("chain")).expect("made");
    let error = storage.recover().expect_err("another disk");
    assert!(!FjallStorage::may_pass(&error), "{error}");
    let error = storage.write(&[append(1)]).expect_err("closed");
    assert!(FjallStorage::may_pass(&error), "{error}");
}
