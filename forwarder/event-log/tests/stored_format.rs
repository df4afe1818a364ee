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

fn event(id: &'static str, promised: Option<DeliveryGuarantee>) -> AcceptedEvent<'static> {
    AcceptedEvent {
        id: id.into(),
        destination: 77,
        traffic_type: "invoices".into(),
        deadline: 1_764_000_600_000.5,
        key: Some(9),
        fingerprint: Some(format!("fingerprint-{id}").into()),
        body: format!("body of {id}").into_bytes().into(),
        guarantee: promised,
    }
}

/// Every kind of record, with and without what may be left out.
fn written(folder: &Path) -> EventLog {
    let (mut ledger, owed) = EventLog::open(folder, DISK).unwrap();
    assert!(owed.is_empty());
    let promise = |repeats, ordered| {
        Some(DeliveryGuarantee {
            repeat_safety: repeats,
            ordered,
        })
    };
    ledger.accept(event("waits", promise(RepeatSafety::Idempotent, true)));
    ledger.accept(event(
        "out",
        promise(
            RepeatSafety::Deduplicated {
                window: 60_000.0,
                per_zone: true,
            },
            false,
        ),
    ));
    ledger.accept(event("ran", promise(RepeatSafety::NonIdempotent, true)));
    ledger.accept(event(
        "ended",
        promise(
            RepeatSafety::Deduplicated {
                window: 5.5,
                per_zone: false,
            },
            true,
        ),
    ));
    ledger.accept(event("over", None));
    ledger.accept(AcceptedEvent {
        id: "least".into(),
        traffic_type: "t".into(),
        ..AcceptedEvent::default()
    });
    ledger.commit().unwrap();
    ledger.record_attempt("out", 1_764_000_000_001.0, "zone-a");
    ledger.record_attempt_with_timeout("out", 1_764_000_000_002.0, "zone-b", 8_000.0);
    ledger.record_attempt("ran", 1_764_000_000_003.0, "zone-c");
    ledger.record_attempt_not_executed("ran");
    ledger.record_attempt("ended", 1_764_000_000_004.0, "zone-a");
    ledger.record_outcome("ended", Outcome::Abandoned, Some(750.0));
    ledger.record_outcome("least", Outcome::Rejected, None);
    ledger.complete("over");
    ledger.record_warm_up("cold", 1_764_000_000_005.0, 3.5);
    ledger.record_warm_up("gone", 1_764_000_000_006.0, 4.5);
    ledger.record_warm_up_end("gone");
    ledger.commit().unwrap();
    ledger.change_owner().unwrap();
    ledger
}

/// What a record in a fixture owes, entirely.
fn owed_in(name: &str) -> Vec<String> {
    let folder = tempfile::tempdir().unwrap();
    fs::copy(fixture(name), folder.path().join("ledger")).unwrap();
    let (ledger, owed) = EventLog::open(folder.path(), DISK).unwrap();
    assert_eq!(
        ledger.warming_up_targets().collect::<Vec<_>>(),
        [("cold", 1_764_000_000_005.0, 3.5)]
    );
    assert_eq!(
        ledger.file_length(),
        fs::metadata(fixture(name)).unwrap().len(),
        "nothing is cut off"
    );
    assert!(ledger.contains_order_key(9));
    owed.iter().map(described).collect()
}

/// In words of the test's own, so that the fixture does not depend on the code's names.
fn described(owed: &PendingEvent) -> String {
    let taken = &owed.event;
    let promise = taken.guarantee.map(|promise| {
        let repeats = match promise.repeat_safety {
            RepeatSafety::Idempotent => "harmless".to_owned(),
            RepeatSafety::Deduplicated {
                window,
                per_zone: one_zone,
            } => {
                format!("known for {window} in one zone {one_zone}")
            }
            RepeatSafety::NonIdempotent => "forbidden".to_owned(),
        };
        format!("{repeats}, ordered {}", promise.ordered)
    });
    let ended = owed.outcome.map(|(outcome, come_back_after)| {
        let outcome = match outcome {
            Outcome::Rejected => "dismissed",
            Outcome::Abandoned => "written off",
        };
        (outcome, come_back_after)
    });
    let body = String::from_utf8(taken.body.to_vec()).unwrap();
    let event = format!(
        "{} {} {} {}",
        taken.id, taken.destination, taken.traffic_type, taken.deadline
    );
    let more = format!(
        "{:?} {:?} {body:?} {promise:?}",
        taken.key, taken.fingerprint
    );
    let sends = format!(
        "{} {:?} {:?} {:?}",
        owed.attempts, owed.may_have_run, owed.in_flight, owed.timeout
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
    let (mut ledger, _) = EventLog::open(folder.path(), 100).unwrap();
    ledger.record_attempt("waits", 1_764_000_000_007.0, "zone-a");
    ledger.commit().unwrap();
    assert_eq!(
        fs::read(folder.path().join("ledger")).unwrap(),
        fs::read(fixture("rewritten")).unwrap()
    );
    ledger.clear().unwrap();
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
