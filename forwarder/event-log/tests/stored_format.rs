//! The log's file as the text of 7dd1b2b wrote it: byte for byte what is written today, and opened and read
//! back entirely.

use std::fs;
use std::path::{Path, PathBuf};

use plankhill_event_log::*;

const DISK: u64 = 1_000_000;

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/stored_format")
        .join(name)
}

fn event(id: &'static str, promised: Option<Promise>) -> Taken<'static> {
    Taken {
        id: id.into(),
        destination: 77,
        traffic: "invoices".into(),
        patience_ends: 1_764_000_600_000.5,
        key: Some(9),
        fingerprint: Some(format!("fingerprint-{id}").into()),
        body: format!("body of {id}").into_bytes().into(),
        promised,
    }
}

/// Every kind of record, with and without what may be left out.
fn written(folder: &Path) -> Ledger {
    let (mut ledger, owed) = Ledger::open(folder, DISK).unwrap();
    assert!(owed.is_empty());
    let promise = |repeats, ordered| Some(Promise { repeats, ordered });
    ledger.taken(event("waits", promise(Repeats::Harmless, true)));
    ledger.taken(event(
        "out",
        promise(
            Repeats::Known {
                window: 60_000.0,
                one_zone: true,
            },
            false,
        ),
    ));
    ledger.taken(event("ran", promise(Repeats::Forbidden, true)));
    ledger.taken(event(
        "ended",
        promise(
            Repeats::Known {
                window: 5.5,
                one_zone: false,
            },
            true,
        ),
    ));
    ledger.taken(event("over", None));
    ledger.taken(Taken {
        id: "least".into(),
        traffic: "t".into(),
        ..Taken::default()
    });
    ledger.commit().unwrap();
    ledger.sent("out", 1_764_000_000_001.0, "zone-a");
    ledger.sent_for("out", 1_764_000_000_002.0, "zone-b", 8_000.0);
    ledger.sent("ran", 1_764_000_000_003.0, "zone-c");
    ledger.unrun("ran");
    ledger.sent("ended", 1_764_000_000_004.0, "zone-a");
    ledger.ended("ended", Outcome::WrittenOff, Some(750.0));
    ledger.ended("least", Outcome::Dismissed, None);
    ledger.over("over");
    ledger.note_cold("cold", 1_764_000_000_005.0, 3.5);
    ledger.note_cold("gone", 1_764_000_000_006.0, 4.5);
    ledger.unnote("gone");
    ledger.commit().unwrap();
    ledger.change_owner().unwrap();
    ledger
}

/// What a record in a fixture owes, entirely.
fn owed_in(name: &str) -> Vec<String> {
    let folder = tempfile::tempdir().unwrap();
    fs::copy(fixture(name), folder.path().join("ledger")).unwrap();
    let (ledger, owed) = Ledger::open(folder.path(), DISK).unwrap();
    assert_eq!(
        ledger.cold().collect::<Vec<_>>(),
        [("cold", 1_764_000_000_005.0, 3.5)]
    );
    assert_eq!(
        ledger.length(),
        fs::metadata(fixture(name)).unwrap().len(),
        "nothing is cut off"
    );
    assert!(ledger.holds_key(9));
    owed.iter().map(described).collect()
}

/// In words of the test's own, so that the fixture does not depend on the code's names.
fn described(owed: &Owed) -> String {
    let taken = &owed.taken;
    let promise = taken.promised.map(|promise| {
        let repeats = match promise.repeats {
            Repeats::Harmless => "harmless".to_owned(),
            Repeats::Known { window, one_zone } => {
                format!("known for {window} in one zone {one_zone}")
            }
            Repeats::Forbidden => "forbidden".to_owned(),
        };
        format!("{repeats}, ordered {}", promise.ordered)
    });
    let ended = owed.ended.map(|(outcome, come_back_after)| {
        let outcome = match outcome {
            Outcome::Dismissed => "dismissed",
            Outcome::WrittenOff => "written off",
        };
        (outcome, come_back_after)
    });
    let body = String::from_utf8(taken.body.to_vec()).unwrap();
    let event = format!(
        "{} {} {} {}",
        taken.id, taken.destination, taken.traffic, taken.patience_ends
    );
    let more = format!(
        "{:?} {:?} {body:?} {promise:?}",
        taken.key, taken.fingerprint
    );
    let sends = format!(
        "{} {:?} {:?} {:?}",
        owed.sends, owed.may_have_run, owed.was_out, owed.time_out
    );
    format!("{event} | {more} | {sends} | {ended:?}")
}

#[test]
fn the_file_is_written_as_pinned() {
    let folder = tempfile::tempdir().unwrap();
    let ledger = written(folder.path());
    drop(ledger);
    let names: Vec<_> = fs::read_dir(folder.path())
        .unwrap()
        .map(|entry| entry.unwrap().file_name())
        .collect();
    assert_eq!(names, ["ledger"]);
    assert_eq!(
        fs::read(folder.path().join("ledger")).unwrap(),
        fs::read(fixture("appended")).unwrap()
    );
}

/// Opened with so small a disk that the next commit writes it anew.
#[test]
fn the_file_is_rewritten_as_pinned() {
    let folder = tempfile::tempdir().unwrap();
    drop(written(folder.path()));
    let (mut ledger, _) = Ledger::open(folder.path(), 100).unwrap();
    ledger.sent("waits", 1_764_000_000_007.0, "zone-a");
    ledger.commit().unwrap();
    assert_eq!(
        fs::read(folder.path().join("ledger")).unwrap(),
        fs::read(fixture("rewritten")).unwrap()
    );
    ledger.empty().unwrap();
    assert_eq!(
        fs::read(folder.path().join("ledger")).unwrap(),
        b"plankhill ledger 1\n"
    );
}

#[test]
fn a_file_as_written_before_is_read_entirely() {
    let expected = fs::read_to_string(fixture("owed.txt")).unwrap();
    assert_eq!(owed_in("appended"), expected.lines().collect::<Vec<_>>());
}

/// Of what has ended no body, fingerprint or sends are left in it.
#[test]
fn a_rewritten_file_as_written_before_is_read_entirely() {
    let expected = fs::read_to_string(fixture("owed_rewritten.txt")).unwrap();
    assert_eq!(owed_in("rewritten"), expected.lines().collect::<Vec<_>>());
}
