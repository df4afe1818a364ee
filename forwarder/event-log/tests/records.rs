//! What one record writes as frames, another reads.

use plankhill_event_log::*;
use rstest::rstest;

fn event(id: &str) -> Taken<'static> {
    Taken {
        id: id.to_owned().into(),
        traffic: "t".into(),
        body: b"body"[..].into(),
        ..Taken::default()
    }
}

fn said(record: &Record) -> Vec<String> {
    record
        .owed()
        .iter()
        .map(|owed| format!("{owed:?}"))
        .collect()
}

#[rstest]
fn a_record_told_the_marks_or_the_whole_owes_what_the_first_does() {
    let mut first = Record::default();
    ["a", "b", "c", "d"]
        .into_iter()
        .for_each(|id| first.taken(event(id)));
    first.sent_for("a", 10.0, "z", 1500.0);
    first.sent("b", 11.0, "z");
    first.unrun("b");
    first.over("c");
    first.ended("d", Outcome::WrittenOff, None);
    first.note_cold("t", 5.0, 7.0);
    first.note_cold("gone", 5.0, 7.0);
    first.unnote("gone");
    let marks = first.take_unwritten();
    assert!(first.unwritten().is_empty());
    let (mut told, mut whole, mut bytes) = (Record::default(), Record::default(), Vec::new());
    assert_eq!(told.apply(&marks), marks.len());
    first.write(&mut bytes);
    assert_eq!(whole.apply(&bytes), bytes.len());
    for other in [&told, &whole] {
        assert_eq!(said(other), said(&first));
        assert_eq!((other.live(), other.len()), (first.live(), 3));
        assert_eq!(other.cold().collect::<Vec<_>>(), [("t", 5.0, 7.0)]);
    }
    assert_eq!(
        first.owed_of("a").and_then(|owed| owed.time_out),
        Some(1500.0)
    );
    assert_eq!(first.owed_of("b").and_then(|owed| owed.time_out), None);
    let cut: Vec<&[u8]> = frames(&marks).collect();
    assert_eq!(
        (cut.len(), cut.concat()),
        (12, marks),
        "cut at frames, nothing is lost"
    );
}

#[rstest]
fn marks_that_make_no_sense_change_nothing() {
    let (mut first, mut told) = (Record::default(), Record::default());
    first.taken(event("a"));
    let marks = first.take_unwritten();
    told.apply(&marks);
    let before = (said(&told), told.live());
    // Taken twice, marks of an event never taken, bytes that are no frame.
    told.apply(&marks);
    first.over("a");
    first.taken(event("other"));
    first.take_unwritten();
    first.sent("other", 1.0, "z");
    told.apply(&first.take_unwritten());
    assert_eq!(told.apply(b"no frame at all, but long enough to be one"), 0);
    assert_eq!((said(&told), told.live()), before);
}

#[rstest]
#[case(Repeats::Harmless, false)]
#[case(Repeats::Known { window: 1500.0, one_zone: false }, true)]
#[case(Repeats::Known { window: 0.5, one_zone: true }, false)]
#[case(Repeats::Forbidden, true)]
fn what_was_promised_stays_with_an_event_also_past_its_end(
    #[case] repeats: Repeats,
    #[case] ordered: bool,
) {
    let promised = Some(Promise { repeats, ordered });
    let (mut first, mut read) = (Record::default(), Record::default());
    first.taken(Taken {
        promised,
        ..event("a")
    });
    first.taken(Taken {
        promised,
        ..event("b")
    });
    first.taken(event("as an older text wrote it"));
    first.ended("b", Outcome::WrittenOff, None);
    let mut whole = Vec::new();
    first.write(&mut whole);
    read.apply(&whole);
    let read: Vec<_> = read.owed().iter().map(|owed| owed.taken.promised).collect();
    assert_eq!(read, [promised, promised, None]);
}

#[rstest]
fn of_two_promises_the_stricter_of_each_part_holds() {
    let known = |window, one_zone| Repeats::Known { window, one_zone };
    let of = |repeats, ordered| Promise { repeats, ordered };
    let both = [
        (
            of(Repeats::Harmless, false),
            of(Repeats::Harmless, true),
            of(Repeats::Harmless, true),
        ),
        (
            of(Repeats::Harmless, false),
            of(known(5.0, true), false),
            of(known(5.0, true), false),
        ),
        (
            of(known(9.0, true), false),
            of(known(5.0, false), false),
            of(known(5.0, true), false),
        ),
        (
            of(Repeats::Forbidden, true),
            of(known(5.0, false), false),
            of(Repeats::Forbidden, true),
        ),
        (
            of(Repeats::Forbidden, false),
            of(Repeats::Harmless, false),
            of(Repeats::Forbidden, false),
        ),
    ];
    for (one, other, holds) in both {
        assert_eq!((one.and(other), other.and(one)), (holds, holds));
    }
}

/// The bytes that the version before wrote and read: a frame of its form is read here, and what is written here
/// begins with it, so that it reads all that it knows and passes over the rest.
#[rstest]
fn a_frame_begins_as_the_version_before_wrote_it() {
    let (mut older, mut newer) = (Record::default(), Record::default());
    older.taken(event("a"));
    newer.taken(Taken {
        promised: Some(Promise {
            repeats: Repeats::Forbidden,
            ordered: true,
        }),
        ..event("a")
    });
    let (older, newer) = (older.take_unwritten(), newer.take_unwritten());
    // Behind length and checksum.
    assert!(newer[8..].starts_with(&older[8..]));
    assert_eq!(newer.len(), older.len() + 9);
}
