//! What one process writes, the next one reads.

use std::fs;
use std::path::PathBuf;

use plankhill_event_log::*;
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

fn ids(owed: &[PendingEvent]) -> Vec<&str> {
    owed.iter().map(|owed| &*owed.event.id).collect()
}

#[rstest]
fn what_is_owed_comes_back_in_order_with_its_sends() {
    let folder = Folder::new("order");
    let (mut ledger, owed) = folder.open();
    assert!(owed.is_empty());
    ["a", "b", "c", "d", "e"]
        .into_iter()
        .for_each(|id| ledger.accept(event(id, b"body")));
    for id in ["a", "a", "b", "c", "d"] {
        ledger.record_attempt(id, 10.0, "z");
    }
    ledger.record_attempt_not_executed("b");
    ledger.complete("c");
    ledger.record_outcome("d", Outcome::Rejected, Some(500.0));
    ledger.commit().expect("writes");
    ledger.accept(event("lost", b"never committed"));
    drop(ledger);
    let (_, owed) = folder.open();
    assert_eq!(ids(&owed), ["a", "b", "d", "e"]);
    let z = || Some((10.0, "z".to_owned()));
    assert_eq!(
        (owed[0].attempts, &owed[0].may_have_run, &owed[0].in_flight),
        (2, &z(), &z())
    );
    assert_eq!(
        (owed[1].attempts, &owed[1].may_have_run, &owed[1].in_flight),
        (1, &None, &None)
    );
    assert_eq!(owed[2].outcome, Some((Outcome::Rejected, Some(500.0))));
    let e = &owed[3].event;
    assert_eq!(
        (e.destination, e.key, e.fingerprint.as_deref(), &*e.body),
        (7, Some(9), Some("f"), &b"body"[..])
    );
}

#[rstest]
fn a_tail_torn_at_any_byte_costs_only_the_torn_frame() {
    let folder = Folder::new("torn");
    let (mut ledger, _) = folder.open();
    ledger.accept(event("a", b"first"));
    ledger.commit().expect("writes");
    let path = folder.0.join("ledger");
    let whole = fs::metadata(&path).unwrap().len() as usize;
    ledger.accept(event("b", b"second"));
    ledger.commit().expect("writes");
    drop(ledger);
    let bytes = fs::read(&path).unwrap();
    for cut in whole..bytes.len() {
        fs::write(&path, &bytes[..cut]).unwrap();
        let (mut ledger, owed) = folder.open();
        assert_eq!(ids(&owed), ["a"], "cut at {cut}");
        ledger.accept(event("c", b"after"));
        ledger.commit().expect("writes");
        assert_eq!(
            ids(&folder.open().1),
            ["a", "c"],
            "what follows a torn frame is read"
        );
    }
    let mut flipped = bytes.clone();
    *flipped.last_mut().unwrap() ^= 1;
    fs::write(&path, &flipped).unwrap();
    assert_eq!(
        ids(&folder.open().1),
        ["a"],
        "a frame that does not fit its checksum is not read"
    );
}

#[rstest]
fn the_disk_is_never_filled_and_what_is_live_outlasts_being_written_anew() {
    let folder = Folder::new("anew");
    let (mut ledger, _) = folder.open();
    ledger.accept(event("live", b"kept"));
    ledger.record_attempt("live", 3.0, "z");
    ledger.accept(event("told", b"gone"));
    ledger.record_outcome("told", Outcome::Abandoned, None);
    ledger.record_warm_up("t", 4.0, 7.0);
    ledger.record_warm_up("t", 5.0, 7.5);
    ledger.record_warm_up("gone", 5.0, 0.0);
    ledger.remove_target("gone");
    let body: &'static [u8] = &[5; 20_000];
    let mut most = 0;
    for number in 0..200 {
        let id = format!("n{number}");
        assert!(ledger.has_capacity_for(body.len()));
        ledger.accept(event(&id, body));
        ledger.commit().expect("writes");
        ledger.complete(&id);
        most = most.max(folder.size());
    }
    ledger.commit().expect("writes");
    assert!(most < 600_000, "{most} bytes on a disk of a million");
    let (mut ledger, owed) = folder.open();
    assert_eq!(
        (ids(&owed), owed[0].attempts, owed[1].outcome.is_some()),
        (vec!["live", "told"], 1, true)
    );
    assert_eq!(
        ledger.warming_up_targets().collect::<Vec<_>>(),
        [("t", 5.0, 7.5)]
    );
    ledger.retain_targets(|target| target != "t");
    assert_eq!(ledger.warming_up_targets().count(), 0);
    let mut taken = 0;
    while ledger.has_capacity_for(body.len()) {
        taken += 1;
        ledger.accept(event(&format!("m{taken}"), body));
        ledger.commit().expect("writes");
        assert!(folder.size() < 1_000_000);
    }
    assert!(taken > 10, "room for {taken} only");
}

#[rstest]
fn a_rewrite_cut_short_leaves_the_old_record() {
    let folder = Folder::new("short");
    let (mut ledger, _) = folder.open();
    ledger.accept(event("a", b"body"));
    ledger.commit().expect("writes");
    fs::write(folder.0.join("ledger.new"), b"half").unwrap();
    assert_eq!(ids(&folder.open().1), ["a"]);
    assert!(!folder.0.join("ledger.new").exists());
}

#[rstest]
fn another_file_in_its_place_is_not_overwritten() {
    let folder = Folder::new("other");
    fs::write(folder.0.join("ledger"), b"something else altogether").unwrap();
    let error = EventLog::open(&folder.0, 1_000_000)
        .map(|_| ())
        .expect_err("is no ledger");
    assert!(error.to_string().contains("not a ledger"));
}

#[rstest]
fn a_change_of_owner_is_seen_by_who_wrote_before_and_passed_over_by_who_reads() {
    let folder = Folder::new("owner");
    let (mut elder, _) = folder.open();
    let before = elder.file_length();
    // Half of the disk to the byte: the next commit writes it anew.
    elder.accept(event("held", b""));
    elder.commit().expect("writes");
    let frame = (elder.file_length() - before) as usize;
    let rest = 500_000 - elder.file_length() as usize - frame;
    elder.accept(event("fill", vec![7; rest].leak()));
    elder.commit().expect("writes");
    assert_eq!(elder.file_length(), 500_000);
    assert!(!has_length_changed(&folder.0, elder.file_length()).expect("there"));
    let (mut heir, owed) = folder.open();
    assert_eq!(ids(&owed), ["held", "fill"]);
    heir.change_owner().expect("writes");
    assert!(has_length_changed(&folder.0, elder.file_length()).expect("there"));
    assert!(
        heir.file_length() > elder.file_length(),
        "the same file, and longer"
    );
    assert_eq!(ids(&folder.open().1), ["held", "fill"]);
}
