//! What an heir does with what it finds.

use plankhill_event_log::*;
use plankhill_replication::*;
use rstest::rstest;

const NOW: f64 = 50_000.0;
const STALL: f64 = 600.0;

/// What a record owes of one event after these marks.
fn owed(marks: impl FnOnce(&mut Record)) -> Owed {
    let mut record = Record::default();
    record.taken(Taken {
        id: "a".into(),
        ..Taken::default()
    });
    marks(&mut record);
    record.owed().remove(0)
}

fn adopted(finds: Finds, marks: impl FnOnce(&mut Record)) -> Adopts {
    adopts(&owed(marks), finds, NOW, STALL)
}

#[rstest]
fn an_event_that_was_not_out_is_decided_at_once() {
    assert_eq!(
        adopted(Finds::Nothing, |_| ()),
        Adopts::Restore { out_until: None }
    );
    let unrun = |record: &mut Record| {
        record.sent_for("a", 1.0, "z", 900.0);
        record.unrun("a");
    };
    assert_eq!(
        adopted(Finds::Nothing, unrun),
        Adopts::Restore { out_until: None }
    );
}

#[rstest]
#[case::noted(Some(900.0), NOW + 900.0 + 2.0 * STALL)]
#[case::noted_by_none(None, NOW + 16_000.0 + 2.0 * STALL)]
fn a_call_of_the_old_owner_is_out_until_it_surely_is_not(
    #[case] span: Option<f64>,
    #[case] until: f64,
) {
    let sent = |record: &mut Record| match span {
        Some(span) => record.sent_for("a", 1.0, "z", span),
        None => record.sent("a", 1.0, "z"),
    };
    assert_eq!(
        adopted(Finds::Nothing, sent),
        Adopts::Restore {
            out_until: Some(until)
        }
    );
    let sent_again = |record: &mut Record| {
        record.sent_for("a", 1.0, "z", 8000.0);
        sent(record);
    };
    let adopted = adopted(Finds::Nothing, sent_again);
    assert_eq!(
        adopted,
        Adopts::Restore {
            out_until: Some(until)
        },
        "only the last can be out"
    );
}

#[rstest]
fn an_end_that_may_not_have_been_heard_is_told_again_once() {
    let ended = |record: &mut Record| record.ended("a", Outcome::Dismissed, Some(500.0));
    assert_eq!(
        adopted(Finds::Nothing, ended),
        Adopts::TellAgain(Outcome::Dismissed, Some(500.0))
    );
    assert_eq!(
        adopted(Finds::Held, ended),
        Adopts::Over,
        "the one that is held gets its end"
    );
    assert_eq!(adopted(Finds::Ended, ended), Adopts::Over);
}

#[rstest]
fn an_id_that_the_heir_knows_stays_one_event() {
    let sent = |record: &mut Record| record.sent_for("a", 1.0, "z", 900.0);
    assert_eq!(
        adopted(Finds::Held, |_| ()),
        Adopts::Join { out_until: None }
    );
    assert_eq!(
        adopted(Finds::Held, sent),
        Adopts::Join {
            out_until: Some(NOW + 2100.0)
        }
    );
    assert_eq!(
        adopted(Finds::Ended, sent),
        Adopts::Over,
        "it has had its end here"
    );
    assert_eq!(
        adopted(Finds::OwnCall, sent),
        Adopts::Keep,
        "its own call tells its outcome itself"
    );
}
