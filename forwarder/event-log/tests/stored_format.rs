//! The log's file is written byte for byte as version 0.3.0 wrote it, and a file of that version is read
//! completely.

use std::fs;
use std::path::{Path, PathBuf};

use plankhill_event_log::{
    AcceptedEvent, DeliveryGuarantee, EventLog, Outcome, PendingEvent, RepeatSafety,
};

const DISK: u64 = 1_000_000;

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/stored_format")
        .join(name)
}

fn event(id: &'static str, guarantee: Option<DeliveryGuarantee>) -> AcceptedEvent<'static> {
    AcceptedEvent {
        id: id.into(),
        destination: 77,
        traffic_type: "invoices".into(),
        deadline: 1_764_000_600_000.5,
        key: Some(9),
        fingerprint: Some(format!("fingerprint-{id}").into()),
        body: format!("body of {id}").into_bytes().into(),
        guarantee,
    }
}

/// Writes a log with every kind of record, with and without its optional fields.
fn write_log(folder: &Path) -> EventLog {
    let (mut log, pending) = EventLog::open(folder, DISK).unwrap();
    assert!(pending.is_empty());
    let guarantee = |repeat_safety, ordered| {
        Some(DeliveryGuarantee {
            repeat_safety,
            ordered,
        })
    };
    log.accept(event("waits", guarantee(RepeatSafety::Idempotent, true)));
    log.accept(event(
        "out",
        guarantee(
            RepeatSafety::Deduplicated {
                window: 60_000.0,
                per_zone: true,
            },
            false,
        ),
    ));
    log.accept(event("ran", guarantee(RepeatSafety::NonIdempotent, true)));
    log.accept(event(
        "ended",
        guarantee(
            RepeatSafety::Deduplicated {
                window: 5.5,
                per_zone: false,
            },
            true,
        ),
    ));
    log.accept(event("over", None));
    log.accept(AcceptedEvent {
        id: "least".into(),
        traffic_type: "t".into(),
        ..AcceptedEvent::default()
    });
    log.commit().unwrap();
    log.record_attempt("out", 1_764_000_000_001.0, "zone-a");
    log.record_attempt_with_timeout("out", 1_764_000_000_002.0, "zone-b", 8_000.0);
    log.record_attempt("ran", 1_764_000_000_003.0, "zone-c");
    log.record_attempt_not_executed("ran");
    log.record_attempt("ended", 1_764_000_000_004.0, "zone-a");
    log.record_outcome("ended", Outcome::Abandoned, Some(750.0));
    log.record_outcome("least", Outcome::Rejected, None);
    log.complete("over");
    log.record_warm_up("cold", 1_764_000_000_005.0, 3.5);
    log.record_warm_up("gone", 1_764_000_000_006.0, 4.5);
    log.record_warm_up_end("gone");
    log.commit().unwrap();
    log.change_owner().unwrap();
    log
}

/// Complete descriptions of the pending events in a fixture.
fn pending_in(name: &str) -> Vec<String> {
    let folder = tempfile::tempdir().unwrap();
    fs::copy(fixture(name), folder.path().join("ledger")).unwrap();
    let (log, pending) = EventLog::open(folder.path(), DISK).unwrap();
    assert_eq!(
        log.warming_up_targets().collect::<Vec<_>>(),
        [("cold", 1_764_000_000_005.0, 3.5)]
    );
    assert_eq!(
        log.file_length(),
        fs::metadata(fixture(name)).unwrap().len(),
        "nothing is truncated"
    );
    assert!(log.contains_order_key(9));
    pending.iter().map(describe).collect()
}

/// Describes an event in the test's own terms, so that the fixture does not depend on names in the code.
fn describe(pending: &PendingEvent) -> String {
    let accepted = &pending.event;
    let guarantee = accepted.guarantee.map(|guarantee| {
        let repeats = match guarantee.repeat_safety {
            RepeatSafety::Idempotent => "harmless".to_owned(),
            RepeatSafety::Deduplicated { window, per_zone } => {
                format!("known for {window} in one zone {per_zone}")
            }
            RepeatSafety::NonIdempotent => "forbidden".to_owned(),
        };
        format!("{repeats}, ordered {}", guarantee.ordered)
    });
    let ended_with = pending.outcome.map(|(outcome, retry_after)| {
        let outcome = match outcome {
            Outcome::Rejected => "dismissed",
            Outcome::Abandoned => "written off",
        };
        (outcome, retry_after)
    });
    let body = String::from_utf8(accepted.body.to_vec()).unwrap();
    let event = format!(
        "{} {} {} {}",
        accepted.id, accepted.destination, accepted.traffic_type, accepted.deadline
    );
    let details = format!(
        "{:?} {:?} {body:?} {guarantee:?}",
        accepted.key, accepted.fingerprint
    );
    let attempts = format!(
        "{} {:?} {:?} {:?}",
        pending.attempts, pending.may_have_run, pending.in_flight, pending.timeout
    );
    format!("{event} | {details} | {attempts} | {ended_with:?}")
}

#[test]
fn the_file_is_written_as_pinned() {
    let folder = tempfile::tempdir().unwrap();
    let log = write_log(folder.path());
    drop(log);
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

/// The log is opened with a disk limit so small that the next commit rewrites the file.
#[test]
fn the_file_is_rewritten_as_pinned() {
    let folder = tempfile::tempdir().unwrap();
    drop(write_log(folder.path()));
    let (mut log, _) = EventLog::open(folder.path(), 100).unwrap();
    log.record_attempt("waits", 1_764_000_000_007.0, "zone-a");
    log.commit().unwrap();
    assert_eq!(
        fs::read(folder.path().join("ledger")).unwrap(),
        fs::read(fixture("rewritten")).unwrap()
    );
    log.clear().unwrap();
    assert_eq!(
        fs::read(folder.path().join("ledger")).unwrap(),
        b"plankhill ledger 1\n"
    );
}

#[test]
fn a_file_of_the_previous_version_is_read_completely() {
    let expected = fs::read_to_string(fixture("owed.txt")).unwrap();
    assert_eq!(pending_in("appended"), expected.lines().collect::<Vec<_>>());
}

/// A rewritten file has no body, fingerprint or attempts of an event with an outcome.
#[test]
fn a_rewritten_file_of_the_previous_version_is_read_completely() {
    let expected = fs::read_to_string(fixture("owed_rewritten.txt")).unwrap();
    assert_eq!(
        pending_in("rewritten"),
        expected.lines().collect::<Vec<_>>()
    );
}
