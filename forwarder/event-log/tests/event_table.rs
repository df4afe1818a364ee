//! Frames written by one event table give another table the same state.

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

fn describe_pending(table: &EventTable) -> Vec<String> {
    table
        .pending_events()
        .iter()
        .map(|pending| format!("{pending:?}"))
        .collect()
}

#[rstest]
fn a_table_restored_from_frames_or_from_the_complete_state_has_the_same_pending_events() {
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
    let (mut replica, mut restored, mut bytes) =
        (EventTable::default(), EventTable::default(), Vec::new());
    assert_eq!(replica.apply_frames(&frames), frames.len());
    first.write_frames(&mut bytes);
    assert_eq!(restored.apply_frames(&bytes), bytes.len());
    for other in [&replica, &restored] {
        assert_eq!(describe_pending(other), describe_pending(&first));
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
    let split: Vec<&[u8]> = split_frames(&frames).collect();
    assert_eq!(
        (split.len(), split.concat()),
        (12, frames),
        "splitting at frames loses no bytes"
    );
}

#[rstest]
fn records_that_do_not_match_the_state_change_nothing() {
    let (mut first, mut replica) = (EventTable::default(), EventTable::default());
    first.accept(event("a"));
    let frames = first.take_unwritten_frames();
    replica.apply_frames(&frames);
    let before = (describe_pending(&replica), replica.reserved_bytes());
    // An event accepted twice, a record of an event that was never accepted, and bytes that are not a frame.
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
    assert_eq!(
        (describe_pending(&replica), replica.reserved_bytes()),
        before
    );
}

#[rstest]
#[case(RepeatSafety::Idempotent, false)]
#[case(RepeatSafety::Deduplicated { window: 1500.0, per_zone: false }, true)]
#[case(RepeatSafety::Deduplicated { window: 0.5, per_zone: true }, false)]
#[case(RepeatSafety::NonIdempotent, true)]
fn an_event_keeps_its_guarantee_after_its_outcome(
    #[case] repeat_safety: RepeatSafety,
    #[case] ordered: bool,
) {
    let guarantee = Some(DeliveryGuarantee {
        repeat_safety,
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
    first.accept(event("written by an older version"));
    first.record_outcome("b", Outcome::Abandoned, None);
    let mut frames = Vec::new();
    first.write_frames(&mut frames);
    read.apply_frames(&frames);
    let read: Vec<_> = read
        .pending_events()
        .iter()
        .map(|pending| pending.event.guarantee)
        .collect();
    assert_eq!(read, [guarantee, guarantee, None]);
}

#[rstest]
fn strictest_takes_the_stricter_value_of_each_field() {
    let deduplicated = |window, per_zone| RepeatSafety::Deduplicated { window, per_zone };
    let guarantee = |repeat_safety, ordered| DeliveryGuarantee {
        repeat_safety,
        ordered,
    };
    let cases = [
        (
            guarantee(RepeatSafety::Idempotent, false),
            guarantee(RepeatSafety::Idempotent, true),
            guarantee(RepeatSafety::Idempotent, true),
        ),
        (
            guarantee(RepeatSafety::Idempotent, false),
            guarantee(deduplicated(5.0, true), false),
            guarantee(deduplicated(5.0, true), false),
        ),
        (
            guarantee(deduplicated(9.0, true), false),
            guarantee(deduplicated(5.0, false), false),
            guarantee(deduplicated(5.0, true), false),
        ),
        (
            guarantee(RepeatSafety::NonIdempotent, true),
            guarantee(deduplicated(5.0, false), false),
            guarantee(RepeatSafety::NonIdempotent, true),
        ),
        (
            guarantee(RepeatSafety::NonIdempotent, false),
            guarantee(RepeatSafety::Idempotent, false),
            guarantee(RepeatSafety::NonIdempotent, false),
        ),
    ];
    for (one, other, strictest) in cases {
        assert_eq!(
            (one.strictest(other), other.strictest(one)),
            (strictest, strictest)
        );
    }
}

/// An event with a guarantee is encoded as in the previous version, followed by the guarantee: the previous version
/// reads the fields that it supports and ignores the rest.
#[rstest]
fn a_frame_begins_with_the_fields_of_the_previous_version() {
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
    // After length and checksum.
    assert!(newer[8..].starts_with(&older[8..]));
    assert_eq!(newer.len(), older.len() + 9);
}
