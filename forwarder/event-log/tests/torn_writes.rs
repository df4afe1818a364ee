//! The last frame, of any kind of record, is torn or corrupted at each of its bytes: exactly the state before the frame
//! is restored.

use std::fs;

use plankhill_event_log::{
    AcceptedEvent, DeliveryGuarantee, EventLog, EventTable, Outcome, RepeatSafety,
};
use rstest::rstest;

fn event(id: &str) -> AcceptedEvent<'static> {
    AcceptedEvent {
        id: id.to_owned().into(),
        traffic_type: "t".into(),
        key: Some(3),
        fingerprint: Some("f".into()),
        body: b"body"[..].into(),
        guarantee: Some(DeliveryGuarantee {
            repeat_safety: RepeatSafety::NonIdempotent,
            ordered: true,
        }),
        ..AcceptedEvent::default()
    }
}

fn state(log: &EventLog) -> (Vec<String>, Vec<(String, f64, f64)>, usize) {
    let pending = log
        .pending_events()
        .iter()
        .map(|pending| format!("{pending:?}"))
        .collect();
    let warming_up = log
        .warming_up_targets()
        .map(|(target, since, usual)| (target.to_owned(), since, usual))
        .collect();
    (pending, warming_up, log.reserved_bytes())
}

#[rstest]
#[case::accepted(|table: &mut EventTable| table.accept(event("b")))]
#[case::attempt(|table: &mut EventTable| table.record_attempt("a", 7.0, "z"))]
#[case::attempt_with_timeout(|table: &mut EventTable| table.record_attempt_with_timeout("a", 7.0, "z", 1500.0))]
#[case::attempt_not_executed(|table: &mut EventTable| table.record_attempt_not_executed("a"))]
#[case::outcome(|table: &mut EventTable| table.record_outcome("a", Outcome::Rejected, Some(500.0)))]
#[case::completed(|table: &mut EventTable| table.complete("a"))]
#[case::warm_up(|table: &mut EventTable| table.record_warm_up("t", 9.0, 2.0))]
fn a_record_torn_at_any_byte_is_dropped(#[case] last: fn(&mut EventTable)) {
    let folder = tempfile::tempdir().expect("a folder for the test");
    let open = || EventLog::open(folder.path(), 1_000_000).expect("opens").0;
    let file = folder.path().join("ledger");
    let mut log = open();
    log.accept(event("a"));
    log.record_attempt("a", 5.0, "y");
    log.record_warm_up("t", 4.0, 1.0);
    log.commit().expect("writes");
    let (before, complete_length) = (state(&log), log.file_length() as usize);
    last(&mut log);
    log.commit().expect("writes");
    let after = state(&log);
    assert_ne!(before, after);
    drop(log);
    let bytes = fs::read(&file).expect("there");
    for cut in complete_length..bytes.len() {
        fs::write(&file, &bytes[..cut]).expect("written");
        assert_eq!(state(&open()), before, "cut at {cut}");
        assert_eq!(
            fs::read(&file).expect("there"),
            bytes[..complete_length],
            "the torn frame is truncated"
        );
        // The same for a frame with one corrupted byte.
        let mut corrupted = bytes.clone();
        corrupted[cut] ^= 0x40;
        fs::write(&file, corrupted).expect("written");
        assert_eq!(state(&open()), before, "corrupted at {cut}");
    }
    fs::write(&file, &bytes).expect("written");
    assert_eq!(state(&open()), after);
}

/// A process killed while it writes the header leaves a part of the header.
#[rstest]
fn a_header_torn_at_any_byte_is_an_empty_log() {
    let folder = tempfile::tempdir().expect("a folder for the test");
    let header = b"plankhill ledger 1\n";
    for cut in 0..=header.len() {
        fs::write(folder.path().join("ledger"), &header[..cut]).expect("written");
        let (mut log, pending) = EventLog::open(folder.path(), 1_000_000).expect("opens");
        assert!(pending.is_empty());
        log.accept(event("a"));
        log.commit().expect("writes");
        assert_eq!(
            EventLog::open(folder.path(), 1_000_000)
                .expect("opens")
                .1
                .len(),
            1,
            "cut at {cut}"
        );
    }
}
