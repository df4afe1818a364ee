//! What an heir does with what it finds.

use plankhill_event_log::*;
use plankhill_replication::*;
use rstest::rstest;

const NOW: f64 = 50_000.0;
const STALL: f64 = 600.0;

/// What a record owes of one event after these marks.
fn owed(marks: impl FnOnce(&mut EventTable)) -> PendingEvent {
    let mut record = EventTable::default();
    record.accept(AcceptedEvent {
        id: "a".into(),
        ..AcceptedEvent::default()
    });
    marks(&mut record);
    record.pending_events().remove(0)
}

fn adopted(finds: LocalKnowledge, marks: impl FnOnce(&mut EventTable)) -> AdoptionAction {
    plan_adoption(&owed(marks), finds, NOW, STALL)
}

#[rstest]
fn an_event_that_was_not_out_is_decided_at_once() {
    assert_eq!(
        adopted(LocalKnowledge::Unknown, |_| ()),
        AdoptionAction::Restore {
            in_flight_until: None
        }
    );
    let unrun = |record: &mut EventTable| {
        record.record_attempt_with_timeout("a", 1.0, "z", 900.0);
        record.record_attempt_not_executed("a");
    };
    assert_eq!(
        adopted(LocalKnowledge::Unknown, unrun),
        AdoptionAction::Restore {
            in_flight_until: None
        }
    );
}

#[rstest]
#[case::noted(Some(900.0), NOW + 900.0 + 2.0 * STALL)]
#[case::noted_by_none(None, NOW + 16_000.0 + 2.0 * STALL)]
fn a_call_of_the_old_owner_is_out_until_it_surely_is_not(
    #[case] span: Option<f64>,
    #[case] until: f64,
) {
    let sent = |record: &mut EventTable| match span {
        Some(span) => record.record_attempt_with_timeout("a", 1.0, "z", span),
        None => record.record_attempt("a", 1.0, "z"),
    };
    assert_eq!(
        adopted(LocalKnowledge::Unknown, sent),
        AdoptionAction::Restore {
            in_flight_until: Some(until)
        }
    );
    let sent_again = |record: &mut EventTable| {
        record.record_attempt_with_timeout("a", 1.0, "z", 8000.0);
        sent(record);
    };
    let adopted = adopted(LocalKnowledge::Unknown, sent_again);
    assert_eq!(
        adopted,
        AdoptionAction::Restore {
            in_flight_until: Some(until)
        },
        "only the last can be out"
    );
}

#[rstest]
fn an_end_that_may_not_have_been_heard_is_told_again_once() {
    let ended =
        |record: &mut EventTable| record.record_outcome("a", Outcome::Rejected, Some(500.0));
    assert_eq!(
        adopted(LocalKnowledge::Unknown, ended),
        AdoptionAction::NotifyAgain(Outcome::Rejected, Some(500.0))
    );
    assert_eq!(
        adopted(LocalKnowledge::Pending, ended),
        AdoptionAction::Discard,
        "the one that is held gets its end"
    );
    assert_eq!(
        adopted(LocalKnowledge::Completed, ended),
        AdoptionAction::Discard
    );
}

#[rstest]
fn an_id_that_the_heir_knows_stays_one_event() {
    let sent = |record: &mut EventTable| record.record_attempt_with_timeout("a", 1.0, "z", 900.0);
    assert_eq!(
        adopted(LocalKnowledge::Pending, |_| ()),
        AdoptionAction::Merge {
            in_flight_until: None
        }
    );
    assert_eq!(
        adopted(LocalKnowledge::Pending, sent),
        AdoptionAction::Merge {
            in_flight_until: Some(NOW + 2100.0)
        }
    );
    assert_eq!(
        adopted(LocalKnowledge::Completed, sent),
        AdoptionAction::Discard,
        "it has had its end here"
    );
    assert_eq!(
        adopted(LocalKnowledge::OwnAttemptInFlight, sent),
        AdoptionAction::AwaitOwnAttempt,
        "its own call tells its outcome itself"
    );
}
