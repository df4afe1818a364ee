//! The last frame torn at each of its bytes, whatever it says: what was before it holds, and nothing more.

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

fn said(log: &EventLog) -> (Vec<String>, Vec<(String, f64, f64)>, usize) {
    let pending = log
        .pending_events()
        .iter()
        .map(|pending| format!("{pending:?}"))
        .collect();
    let cold = log
        .warming_up_targets()
        .map(|(target, since, usual)| (target.to_owned(), since, usual))
        .collect();
    (pending, cold, log.reserved_bytes())
}

#[rstest]
#[case::taken(|record: &mut EventTable| record.accept(event("b")))]
#[case::sent(|record: &mut EventTable| record.record_attempt("a", 7.0, "z"))]
#[case::sent_for(|record: &mut EventTable| record.record_attempt_with_timeout("a", 7.0, "z", 1500.0))]
#[case::unrun(|record: &mut EventTable| record.record_attempt_not_executed("a"))]
#[case::ended(|record: &mut EventTable| record.record_outcome("a", Outcome::Rejected, Some(500.0)))]
#[case::over(|record: &mut EventTable| record.complete("a"))]
#[case::cold(|record: &mut EventTable| record.record_warm_up("t", 9.0, 2.0))]
fn a_record_torn_at_any_byte_is_dropped(#[case] last: fn(&mut EventTable)) {
    let folder = tempfile::tempdir().expect("a folder for the test");
    let open = || EventLog::open(folder.path(), 1_000_000).expect("opens").0;
    let file = folder.path().join("ledger");
    let mut log = open();
    log.accept(event("a"));
    log.record_attempt("a", 5.0, "y");
    log.record_warm_up("t", 4.0, 1.0);
    log.commit().expect("writes");
    let (before, whole) = (said(&log), log.file_length() as usize);
    last(&mut log);
    log.commit().expect("writes");
    let after = said(&log);
    assert_ne!(before, after);
    drop(log);
    let bytes = fs::read(&file).expect("there");
    for cut in whole..bytes.len() {
        fs::write(&file, &bytes[..cut]).expect("written");
        assert_eq!(said(&open()), before, "cut at {cut}");
        assert_eq!(
            fs::read(&file).expect("there"),
            bytes[..whole],
            "what is torn is gone"
        );
        // The same for one whose byte is another.
        let mut other = bytes.clone();
        other[cut] ^= 0x40;
        fs::write(&file, other).expect("written");
        assert_eq!(said(&open()), before, "changed at {cut}");
    }
    fs::write(&file, &bytes).expect("written");
    assert_eq!(said(&open()), after);
}

/// The process was killed before it had written the whole header.
#[rstest]
fn a_header_torn_at_any_byte_is_an_empty_log() {
    let folder = tempfile::tempdir().expect("a folder for the test");
    let first = b"plankhill ledger 1\n";
    for cut in 0..=first.len() {
        fs::write(folder.path().join("ledger"), &first[..cut]).expect("written");
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
