//! What one record writes as frames, another reads.

use plankhill_event_log::{
    frames as split_frames, AcceptedEvent, DeliveryGuarantee, EventTable, Outcome, RepeatSafety,
};
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
        .map(|pending| format!("{pending:?}"))
        .collect()
}

#[rstest]
fn a_table_of_the_same_frames_or_of_the_whole_state_has_the_same_pending_events() {
    let mut first = EventTable::default();
    for id in ["a", "b", "c", "d"] {
        first.accept(event(id));
    }
    first.record_attempt_with_timeout("a", 10.0, "z", 1500.0);
    first.record_attempt("b", 11.0, "z");
    first.record_attempt_not_executed("b");
    first.complete("c");
    first.record_outcome("d", Outcome::Abandoned, None);
    first.record_warm_up("t", 5.0, 7.0);
    first.record_warm_up("gone", 5.0, 7.0);
    first.record_warm_up_end("gone");
    let frames = first.take_unwritten_frames();
    assert!(first.unwritten_frames().is_empty());
    let (mut replica, mut whole, mut bytes) =
        (EventTable::default(), EventTable::default(), Vec::new());
    assert_eq!(replica.apply_frames(&frames), frames.len());
    first.write_frames(&mut bytes);
    assert_eq!(whole.apply_frames(&bytes), bytes.len());
    for other in [&replica, &whole] {
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
        first.pending_event("a").and_then(|pending| pending.timeout),
        Some(1500.0)
    );
    assert_eq!(
        first.pending_event("b").and_then(|pending| pending.timeout),
        None
    );
    let cut: Vec<&[u8]> = split_frames(&frames).collect();
    assert_eq!(
        (cut.len(), cut.concat()),
        (12, frames),
        "cut at frames, nothing is lost"
    );
}

#[rstest]
fn records_that_do_not_fit_the_state_change_nothing() {
    let (mut first, mut replica) = (EventTable::default(), EventTable::default());
    first.accept(event("a"));
    let frames = first.take_unwritten_frames();
    replica.apply_frames(&frames);
    let before = (said(&replica), replica.reserved_bytes());
    // Accepted twice, records of an event never accepted, bytes that are no frame.
    replica.apply_frames(&frames);
    first.complete("a");
    first.accept(event("other"));
    first.take_unwritten_frames();
    first.record_attempt("other", 1.0, "z");
    replica.apply_frames(&first.take_unwritten_frames());
    assert_eq!(
        replica.apply_frames(b"no frame at all, but long enough to be one"),
        0
    );
    assert_eq!((said(&replica), replica.reserved_bytes()), before);
}

#[rstest]
#[case(RepeatSafety::Idempotent, false)]
#[case(RepeatSafety::Deduplicated { window: 1500.0, per_zone: false }, true)]
#[case(RepeatSafety::Deduplicated { window: 0.5, per_zone: true }, false)]
#[case(RepeatSafety::NonIdempotent, true)]
fn an_event_keeps_its_guarantee_also_past_its_outcome(
    #[case] repeats: RepeatSafety,
    #[case] ordered: bool,
) {
    let guarantee = Some(DeliveryGuarantee {
        repeat_safety: repeats,
        ordered,
    });
    let (mut first, mut read) = (EventTable::default(), EventTable::default());
    first.accept(AcceptedEvent {
        guarantee,
        ..event("a")
    });
    first.accept(AcceptedEvent {
        guarantee,
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
        .map(|pending| pending.event.guarantee)
        .collect();
    assert_eq!(read, [guarantee, guarantee, None]);
}

#[rstest]
fn of_two_guarantees_the_stricter_of_each_part_holds() {
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
fn a_frame_begins_as_the_previous_version_wrote_it() {
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
