//! A new process restores the events that an earlier process wrote to the log file.

use std::fs;
use std::path::PathBuf;

use plankhill_event_log::{has_length_changed, AcceptedEvent, EventLog, Outcome, PendingEvent};
use rstest::rstest;

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path =
            std::env::temp_dir().join(format!("plankhill-ledger-{}-{name}", std::process::id()));
        fs::create_dir_all(&path).expect("a folder for the test");
        Folder(path)
    }
    fn open(&self) -> (EventLog, Vec<PendingEvent>) {
        EventLog::open(&self.0, 1_000_000).expect("opens")
    }
    fn size(&self) -> u64 {
        fs::read_dir(&self.0)
            .expect("there")
            .map(|file| file.unwrap().metadata().unwrap().len())
            .sum()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn event(id: &str, body: &'static [u8]) -> AcceptedEvent<'static> {
    AcceptedEvent {
        id: id.to_owned().into(),
        destination: 7,
        traffic_type: "t".into(),
        deadline: 1.5,
        key: Some(9),
        fingerprint: Some("f".into()),
        body: body.into(),
        guarantee: None,
    }
}

fn ids(pending: &[PendingEvent]) -> Vec<&str> {
    pending.iter().map(|pending| &*pending.event.id).collect()
}

#[rstest]
fn pending_events_are_restored_in_order_with_their_attempts() {
    let folder = Folder::new("order");
    let (mut log, pending) = folder.open();
    assert!(pending.is_empty());
    for id in ["a", "b", "c", "d", "e"] {
        log.accept(event(id, b"body"));
    }
    for id in ["a", "a", "b", "c", "d"] {
        log.record_attempt(id, 10.0, "z");
    }
    log.record_attempt_not_executed("b");
    log.complete("c");
    log.record_outcome("d", Outcome::Rejected, Some(500.0));
    log.commit().expect("writes");
    log.accept(event("lost", b"never committed"));
    drop(log);
    let (_, pending) = folder.open();
    assert_eq!(ids(&pending), ["a", "b", "d", "e"]);
    let z = || Some((10.0, "z".to_owned()));
    assert_eq!(
        (
            pending[0].attempts,
            &pending[0].may_have_run,
            &pending[0].in_flight
        ),
        (2, &z(), &z())
    );
    assert_eq!(
        (
            pending[1].attempts,
            &pending[1].may_have_run,
            &pending[1].in_flight
        ),
        (1, &None, &None)
    );
    assert_eq!(pending[2].outcome, Some((Outcome::Rejected, Some(500.0))));
    let e = &pending[3].event;
    assert_eq!(
        (e.destination, e.key, e.fingerprint.as_deref(), &*e.body),
        (7, Some(9), Some("f"), &b"body"[..])
    );
}

#[rstest]
fn a_tail_torn_at_any_byte_loses_only_the_torn_frame() {
    let folder = Folder::new("torn");
    let (mut log, _) = folder.open();
    log.accept(event("a", b"first"));
    log.commit().expect("writes");
    let path = folder.0.join("ledger");
    let first_length = fs::metadata(&path).unwrap().len() as usize;
    log.accept(event("b", b"second"));
    log.commit().expect("writes");
    drop(log);
    let bytes = fs::read(&path).unwrap();
    for cut in first_length..bytes.len() {
        fs::write(&path, &bytes[..cut]).unwrap();
        let (mut log, pending) = folder.open();
        assert_eq!(ids(&pending), ["a"], "cut at {cut}");
        log.accept(event("c", b"after"));
        log.commit().expect("writes");
        assert_eq!(
            ids(&folder.open().1),
            ["a", "c"],
            "frames appended after a torn frame are read"
        );
    }
    let mut flipped = bytes.clone();
    *flipped.last_mut().unwrap() ^= 1;
    fs::write(&path, &flipped).unwrap();
    assert_eq!(
        ids(&folder.open().1),
        ["a"],
        "a frame that does not match its checksum is not read"
    );
}

#[rstest]
fn files_stay_within_the_disk_limit_and_pending_events_survive_a_rewrite() {
    let folder = Folder::new("rewrite");
    let (mut log, _) = folder.open();
    log.accept(event("live", b"kept"));
    log.record_attempt("live", 3.0, "z");
    log.accept(event("ended", b"gone"));
    log.record_outcome("ended", Outcome::Abandoned, None);
    log.record_warm_up("t", 4.0, 7.0);
    log.record_warm_up("t", 5.0, 7.5);
    log.record_warm_up("gone", 5.0, 0.0);
    log.remove_target("gone");
    let body: &'static [u8] = &[5; 20_000];
    let mut most = 0;
    for number in 0..200 {
        let id = format!("n{number}");
        assert!(log.has_capacity_for(body.len()));
        log.accept(event(&id, body));
        log.commit().expect("writes");
        log.complete(&id);
        most = most.max(folder.size());
    }
    log.commit().expect("writes");
    assert!(most < 600_000, "{most} bytes with a disk limit of 1000000");
    let (mut log, pending) = folder.open();
    assert_eq!(
        (
            ids(&pending),
            pending[0].attempts,
            pending[1].outcome.is_some()
        ),
        (vec!["live", "ended"], 1, true)
    );
    assert_eq!(
        log.warming_up_targets().collect::<Vec<_>>(),
        [("t", 5.0, 7.5)]
    );
    log.retain_targets(|target| target != "t");
    assert_eq!(log.warming_up_targets().count(), 0);
    let mut accepted = 0;
    while log.has_capacity_for(body.len()) {
        accepted += 1;
        log.accept(event(&format!("m{accepted}"), body));
        log.commit().expect("writes");
        assert!(folder.size() < 1_000_000);
    }
    assert!(accepted > 10, "space for only {accepted}");
}

#[rstest]
fn an_interrupted_rewrite_leaves_the_old_log() {
    let folder = Folder::new("short");
    let (mut log, _) = folder.open();
    log.accept(event("a", b"body"));
    log.commit().expect("writes");
    fs::write(folder.0.join("ledger.new"), b"half").unwrap();
    assert_eq!(ids(&folder.open().1), ["a"]);
    assert!(!folder.0.join("ledger.new").exists());
}

#[rstest]
fn a_file_that_is_no_event_log_is_not_overwritten() {
    let folder = Folder::new("other");
    fs::write(folder.0.join("ledger"), b"something else altogether").unwrap();
    let error = EventLog::open(&folder.0, 1_000_000)
        .map(|_| ())
        .expect_err("not an event log");
    assert!(error.to_string().contains("not a ledger"));
}

#[rstest]
fn a_change_of_owner_is_detected_by_the_predecessor_and_skipped_by_readers() {
    let folder = Folder::new("owner");
    let (mut predecessor, _) = folder.open();
    let before = predecessor.file_length();
    // The file fills exactly half of the disk limit, so that the next commit would rewrite it.
    predecessor.accept(event("tiny", b""));
    predecessor.commit().expect("writes");
    let frame = (predecessor.file_length() - before) as usize;
    let rest = 500_000 - predecessor.file_length() as usize - frame;
    predecessor.accept(event("fill", vec![7; rest].leak()));
    predecessor.commit().expect("writes");
    assert_eq!(predecessor.file_length(), 500_000);
    assert!(!has_length_changed(&folder.0, predecessor.file_length()).expect("there"));
    let (mut successor, pending) = folder.open();
    assert_eq!(ids(&pending), ["tiny", "fill"]);
    successor.change_owner().expect("writes");
    assert!(has_length_changed(&folder.0, predecessor.file_length()).expect("there"));
    assert!(
        successor.file_length() > predecessor.file_length(),
        "the same file, and longer"
    );
    assert_eq!(ids(&folder.open().1), ["tiny", "fill"]);
}
