//! Every kind of log record is encoded and decoded as pinned in `tests/stored_format/records.txt`.

use crate::guarantee::{DeliveryGuarantee, RepeatSafety};
use crate::log_record::{AcceptedEvent, FramedRecord, LogRecord, Outcome, RecordReader};

const RECORDS: &str = include_str!("../tests/stored_format/records.txt");

fn pinned(name: &str) -> Vec<u8> {
    let line = RECORDS
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    let hex = line.unwrap_or_else(|| panic!("{name} is not pinned"));
    (0..hex.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&hex[at..at + 2], 16).unwrap())
        .collect()
}

fn accepted(guarantee: Option<DeliveryGuarantee>) -> LogRecord<'static> {
    LogRecord::Accepted(AcceptedEvent {
        id: "event-é-1".into(),
        destination: 0x0102_0304_0506_0708,
        traffic_type: "invoices".into(),
        deadline: 1_764_000_000_123.25,
        key: Some(0xfedc_ba98_7654_3210),
        fingerprint: Some("a1b2c3".into()),
        body: b"{\"body\":\x00\xff}"[..].into(),
        guarantee,
    })
}

fn minimal_accepted() -> LogRecord<'static> {
    LogRecord::Accepted(AcceptedEvent {
        id: "b".into(),
        traffic_type: "t".into(),
        ..AcceptedEvent::default()
    })
}

fn id() -> std::borrow::Cow<'static, str> {
    "event-é-1".into()
}

fn attempt(timeout: Option<f64>) -> LogRecord<'static> {
    LogRecord::Attempt {
        id: id(),
        started_at: 1_764_000_000_456.5,
        zone: "zone-a".into(),
        timeout,
    }
}

/// A sample of each kind of record and of each variant within it, by its name in the fixture.
fn samples() -> Vec<(String, LogRecord<'static>)> {
    let mut all = vec![
        ("Least".to_owned(), minimal_accepted()),
        ("Unpromised".to_owned(), accepted(None)),
        ("SentWithoutTimeOut".to_owned(), attempt(None)),
        (
            "EndedWithoutWait".to_owned(),
            LogRecord::Outcome {
                id: id(),
                outcome: Outcome::Rejected,
                retry_after: None,
            },
        ),
    ];
    let repeat_safeties = [
        RepeatSafety::Idempotent,
        RepeatSafety::Deduplicated {
            window: 1500.5,
            per_zone: false,
        },
        RepeatSafety::Deduplicated {
            window: 0.5,
            per_zone: true,
        },
        RepeatSafety::NonIdempotent,
    ];
    for repeat_safety in repeat_safeties {
        let kind = match repeat_safety {
            RepeatSafety::Idempotent => "Harmless",
            RepeatSafety::Deduplicated {
                per_zone: false, ..
            } => "Known",
            RepeatSafety::Deduplicated { per_zone: true, .. } => "KnownInOneZone",
            RepeatSafety::NonIdempotent => "Forbidden",
        };
        for ordered in [false, true] {
            let name = format!("Promised{kind}{}", if ordered { "Ordered" } else { "" });
            all.push((
                name,
                accepted(Some(DeliveryGuarantee {
                    repeat_safety,
                    ordered,
                })),
            ));
        }
    }
    for outcome in [Outcome::Rejected, Outcome::Abandoned] {
        let kind = match outcome {
            Outcome::Rejected => "Dismissed",
            Outcome::Abandoned => "WrittenOff",
        };
        let ended = LogRecord::Outcome {
            id: id(),
            outcome,
            retry_after: Some(500.25),
        };
        all.push((format!("Ended{kind}"), ended));
    }
    let kinds = [
        accepted(Some(DeliveryGuarantee {
            repeat_safety: RepeatSafety::NonIdempotent,
            ordered: true,
        })),
        attempt(Some(16_000.5)),
        LogRecord::AttemptNotExecuted { id: id() },
        LogRecord::Outcome {
            id: id(),
            outcome: Outcome::Abandoned,
            retry_after: Some(500.25),
        },
        LogRecord::Completed { id: id() },
        LogRecord::WarmUp {
            target: "target-1".into(),
            since: 1_764_000_000_789.0,
            usual_rate: 12.75,
        },
    ];
    for record in kinds {
        let name = match record {
            LogRecord::Accepted(_) => "Taken",
            LogRecord::Attempt { .. } => "Sent",
            LogRecord::AttemptNotExecuted { .. } => "Unrun",
            LogRecord::Outcome { .. } => "Ended",
            LogRecord::Completed { .. } => "Over",
            LogRecord::WarmUp { .. } => "Cold",
        };
        all.push((name.to_owned(), record));
    }
    all
}

#[test]
fn each_record_is_written_and_read_as_pinned() {
    let samples = samples();
    for (name, record) in &samples {
        let mut bytes = Vec::new();
        record.write(&mut bytes);
        assert_eq!(bytes, pinned(name), "{name}");
        let mut reader = RecordReader::new(&bytes);
        let FramedRecord {
            record: read,
            frame,
        } = reader.next().expect("a complete frame");
        assert_eq!(frame, bytes, "{name}");
        let mut again = Vec::new();
        read.write(&mut again);
        assert_eq!(again, bytes, "{name}");
        assert_eq!(reader.position(), bytes.len(), "{name}");
    }
    assert_eq!(RECORDS.lines().count(), samples.len());
}

/// Older versions wrote warm-up records without the usual rate, events without a guarantee, and attempts without a timeout.
#[test]
fn a_warm_up_record_without_its_usual_rate_is_read() {
    let bytes = pinned("Cold");
    let payload = &bytes[8..bytes.len() - 8];
    let mut older = (payload.len() as u32).to_le_bytes().to_vec();
    older.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    older.extend_from_slice(payload);
    let FramedRecord { record: read, .. } =
        RecordReader::new(&older).next().expect("a complete frame");
    assert!(matches!(
        read,
        LogRecord::WarmUp {
            usual_rate: 0.0,
            since: 1_764_000_000_789.0,
            ..
        }
    ));
}
