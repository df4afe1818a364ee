//! What a successor does with the pending events of a group that it was elected to lead.

use plankhill_event_log::{AcceptedEvent, EventTable, Outcome, PendingEvent};
use plankhill_replication::{plan_adoption, AdoptionAction, LocalKnowledge};
use rstest::rstest;

const NOW: f64 = 50_000.0;
const WATCHDOG_TIMEOUT: f64 = 600.0;

/// A pending event with the records made by `record`.
fn pending(record: impl FnOnce(&mut EventTable)) -> PendingEvent {
    let mut table = EventTable::default();
    table.accept(AcceptedEvent {
        id: "a".into(),
        ..AcceptedEvent::default()
    });
    record(&mut table);
    table.pending_events().remove(0)
}

fn adopted(knowledge: LocalKnowledge, record: impl FnOnce(&mut EventTable)) -> AdoptionAction {
    plan_adoption(&pending(record), knowledge, NOW, WATCHDOG_TIMEOUT)
}

#[rstest]
fn an_event_without_an_attempt_in_flight_is_restored_at_once() {
    assert_eq!(
        adopted(LocalKnowledge::Unknown, |_| ()),
        AdoptionAction::Restore {
            in_flight_until: None
        }
    );
    let not_executed = |table: &mut EventTable| {
        table.record_attempt_with_timeout("a", 1.0, "z", 900.0);
        table.record_attempt_not_executed("a");
    };
    assert_eq!(
        adopted(LocalKnowledge::Unknown, not_executed),
        AdoptionAction::Restore {
            in_flight_until: None
        }
    );
}

#[rstest]
#[case::recorded_timeout(Some(900.0), NOW + 900.0 + 2.0 * WATCHDOG_TIMEOUT)]
#[case::no_recorded_timeout(None, NOW + 16_000.0 + 2.0 * WATCHDOG_TIMEOUT)]
fn an_attempt_of_the_old_owner_is_in_flight_for_its_timeout_and_twice_the_watchdogs(
    #[case] timeout: Option<f64>,
    #[case] until: f64,
) {
    let attempt = |table: &mut EventTable| match timeout {
        Some(timeout) => table.record_attempt_with_timeout("a", 1.0, "z", timeout),
        None => table.record_attempt("a", 1.0, "z"),
    };
    assert_eq!(
        adopted(LocalKnowledge::Unknown, attempt),
        AdoptionAction::Restore {
            in_flight_until: Some(until)
        }
    );
    let second_attempt = |table: &mut EventTable| {
        table.record_attempt_with_timeout("a", 1.0, "z", 8000.0);
        attempt(table);
    };
    let adopted = adopted(LocalKnowledge::Unknown, second_attempt);
    assert_eq!(
        adopted,
        AdoptionAction::Restore {
            in_flight_until: Some(until)
        },
        "only the last attempt can be in flight"
    );
}

#[rstest]
fn an_outcome_that_may_not_be_acknowledged_is_reported_again_once() {
    let outcome =
        |table: &mut EventTable| table.record_outcome("a", Outcome::Rejected, Some(500.0));
    assert_eq!(
        adopted(LocalKnowledge::Unknown, outcome),
        AdoptionAction::NotifyAgain(Outcome::Rejected, Some(500.0))
    );
    assert_eq!(
        adopted(LocalKnowledge::Pending, outcome),
        AdoptionAction::Discard,
        "the event that is pending here gets its own outcome"
    );
    assert_eq!(
        adopted(LocalKnowledge::Completed, outcome),
        AdoptionAction::Discard
    );
}

#[rstest]
fn an_id_that_the_successor_knows_stays_one_event() {
    let attempt = |table: &mut EventTable| table.record_attempt_with_timeout("a", 1.0, "z", 900.0);
    assert_eq!(
        adopted(LocalKnowledge::Pending, |_| ()),
        AdoptionAction::Merge {
            in_flight_until: None
        }
    );
    assert_eq!(
        adopted(LocalKnowledge::Pending, attempt),
        AdoptionAction::Merge {
            in_flight_until: Some(NOW + 2100.0)
        }
    );
    assert_eq!(
        adopted(LocalKnowledge::Completed, attempt),
        AdoptionAction::Discard,
        "it already has its outcome here"
    );
    assert_eq!(
        adopted(LocalKnowledge::OwnAttemptInFlight, attempt),
        AdoptionAction::AwaitOwnAttempt,
        "the result of its own attempt gives the outcome"
    );
}
