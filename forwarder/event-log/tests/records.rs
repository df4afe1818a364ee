//! What one record writes as frames, another reads.

use plankhill_event_log::*;
use rstest::rstest;

fn event(id: &str) -> AcceptedEvent<'static> {
    AcceptedEvent {
        id: id.to_owned().into(),
        traffic_type: "t".into(),
        body: b"body"[..].into(),
        ..AcceptedEvent::default()
    }
}

fn said(record: &EventTable) -> Vec<String> {
    record
        .pending_events()
        .iter()
        .map(|owed| format!("{owed:?}"))
        .collect()
}

#[rstest]
fn a_record_told_the_marks_or_the_whole_owes_what_the_first_does() {
    let mut first = EventTable::default();
    ["a", "b", "c", "d"]
        .into_iter()
        .for_each(|id| first.accept(event(id)));
    first.record_attempt_with_timeout("a", 10.0, "z", 1500.0);
    first.record_attempt("b", 11.0, "z");
    first.record_attempt_not_executed("b");
    first.complete("c");
    first.record_outcome("d", Outcome::Abandoned, None);
    first.record_warm_up("t", 5.0, 7.0);
    first.record_warm_up("gone", 5.0, 7.0);
    first.record_warm_up_end("gone");
    let marks = first.take_unwritten_frames();
    assert!(first.unwritten_frames().is_empty());
    let (mut told, mut whole, mut bytes) =
        (EventTable::default(), EventTable::default(), Vec::new());
    assert_eq!(told.apply_frames(&marks), marks.len());
    first.write_frames(&mut bytes);
    assert_eq!(whole.apply_frames(&bytes), bytes.len());
    for other in [&told, &whole] {
        assert_eq!(said(other), said(&first));
        assert_eq!(
            (other.reserved_bytes(), other.len()),
            (first.reserved_bytes(), 3)
        );
        assert_eq!(
            other.warming_up_targets().collect::<Vec<_>>(),
            [("t", 5.0, 7.0)]
        );
    }
    assert_eq!(
        first.pending_event("a").and_then(|owed| owed.timeout),
        Some(1500.0)
    );
    assert_eq!(first.pending_event("b").and_then(|owed| owed.timeout), None);
    let cut: Vec<&[u8]> = frames(&marks).collect();
    assert_eq!(
        (cut.len(), cut.concat()),
        (12, marks),
        "cut at frames, nothing is lost"
    );
}

#[rstest]
fn marks_that_make_no_sense_change_nothing() {
    let (mut first, mut told) = (EventTable::default(), EventTable::default());
    first.accept(event("a"));
    let marks = first.take_unwritten_frames();
    told.apply_frames(&marks);
    let before = (said(&told), told.reserved_bytes());
    // Taken twice, marks of an event never taken, bytes that are no frame.
    told.apply_frames(&marks);
    first.complete("a");
    first.accept(event("other"));
    first.take_unwritten_frames();
    first.record_attempt("other", 1.0, "z");
    told.apply_frames(&first.take_unwritten_frames());
    assert_eq!(
        told.apply_frames(b"no frame at all, but long enough to be one"),
        0
    );
    assert_eq!((said(&told), told.reserved_bytes()), before);
}

#[rstest]
#[case(RepeatSafety::Idempotent, false)]
#[case(RepeatSafety::Deduplicated { window: 1500.0, per_zone: false }, true)]
#[case(RepeatSafety::Deduplicated { window: 0.5, per_zone: true }, false)]
#[case(RepeatSafety::NonIdempotent, true)]
fn what_was_promised_stays_with_an_event_also_past_its_end(
    #[case] repeats: RepeatSafety,
    #[case] ordered: bool,
) {
    let promised = Some(DeliveryGuarantee {
        repeat_safety: repeats,
        ordered,
    });
    let (mut first, mut read) = (EventTable::default(), EventTable::default());
    first.accept(AcceptedEvent {
        guarantee: promised,
        ..event("a")
    });
    first.accept(AcceptedEvent {
        guarantee: promised,
        ..event("b")
    });
    first.accept(event("as an older text wrote it"));
    first.record_outcome("b", Outcome::Abandoned, None);
    let mut whole = Vec::new();
    first.write_frames(&mut whole);
    read.apply_frames(&whole);
    let read: Vec<_> = read
        .pending_events()
        .iter()
        .map(|owed| owed.event.guarantee)
        .collect();
    assert_eq!(read, [promised, promised, None]);
}

#[rstest]
fn of_two_promises_the_stricter_of_each_part_holds() {
    let known = |window, one_zone| RepeatSafety::Deduplicated {
        window,
        per_zone: one_zone,
    };
    let of = |repeats, ordered| DeliveryGuarantee {
        repeat_safety: repeats,
        ordered,
    };
    let both = [
        (
            of(RepeatSafety::Idempotent, false),
            of(RepeatSafety::Idempotent, true),
            of(RepeatSafety::Idempotent, true),
        ),
        (
            of(RepeatSafety::Idempotent, false),
            of(known(5.0, true), false),
            of(known(5.0, true), false),
        ),
        (
            of(known(9.0, true), false),
            of(known(5.0, false), false),
            of(known(5.0, true), false),
        ),
        (
            of(RepeatSafety::NonIdempotent, true),
            of(known(5.0, false), false),
            of(RepeatSafety::NonIdempotent, true),
        ),
        (
            of(RepeatSafety::NonIdempotent, false),
            of(RepeatSafety::Idempotent, false),
            of(RepeatSafety::NonIdempotent, false),
        ),
    ];
    for (one, other, holds) in both {
        assert_eq!((one.strictest(other), other.strictest(one)), (holds, holds));
    }
}

/// The bytes that the version before wrote and read: a frame of its form is read here, and what is written here
/// begins with it, so that it reads all that it knows and passes over the rest.
#[rstest]
fn a_frame_begins_as_the_version_before_wrote_it() {
    let (mut older, mut newer) = (EventTable::default(), EventTable::default());
    older.accept(event("a"));
    newer.accept(AcceptedEvent {
        guarantee: Some(DeliveryGuarantee {
            repeat_safety: RepeatSafety::NonIdempotent,
            ordered: true,
        }),
        ..event("a")
    });
    let (older, newer) = (older.take_unwritten_frames(), newer.take_unwritten_frames());
    // Behind length and checksum.
    assert!(newer[8..].starts_with(&older[8..]));
    assert_eq!(newer.len(), older.len() + 9);
}
