//! Tests of sessions: one turn of a session is in flight at a time, in order of arrival; requests
//! without a session wait for no other request.

mod common;

use common::{is_failed, non_idempotent_request, sends, turn, Proxy};
use plankhill_dispatch::{AttemptOutcome, NewRequest, RequestKey};

#[test]
fn turns_of_a_session_are_sent_one_at_a_time_in_order() {
    let mut proxy = Proxy::with_targets(&["a", "b"]);
    let first = proxy.enqueue(1.0, turn(1, 1.0, 9)).expect("sent at once");
    assert_eq!(proxy.enqueue(2.0, turn(2, 2.0, 9)), None);
    assert_eq!(proxy.enqueue(3.0, turn(3, 3.0, 9)), None);
    assert!(
        proxy.enqueue(4.0, turn(4, 4.0, 8)).is_some(),
        "another session"
    );
    assert_eq!(
        sends(&proxy.end_attempt(10.0, 1, &first, AttemptOutcome::Delivered))[0].0,
        2
    );
}

#[test]
fn requests_without_a_session_wait_for_no_other_request() {
    let mut proxy = Proxy::with_targets(&["a"]);
    for key in 0..10 {
        assert!(proxy
            .enqueue(1.0, non_idempotent_request(key, 1.0))
            .is_some());
    }
}

#[test]
fn after_an_error_the_next_turn_is_sent_at_once_and_after_a_reset_it_waits() {
    for (outcome, has_cooldown) in [
        (AttemptOutcome::Error, false),
        (AttemptOutcome::Reset, true),
        (AttemptOutcome::Cancelled, true),
    ] {
        let mut proxy = Proxy::with_targets(&["a", "b"]);
        let session_request = |key| NewRequest {
            session: Some(9),
            ..non_idempotent_request(key, 1.0)
        };
        let target = proxy.enqueue(1.0, session_request(1)).expect("sent");
        proxy.enqueue(1.0, session_request(2));
        let commands = proxy.end_attempt(10.0, 1, &target, outcome);
        assert!(is_failed(&commands, 1));
        assert_eq!(sends(&commands).is_empty(), has_cooldown, "{outcome:?}");
        if has_cooldown {
            assert!(sends(&proxy.advance_to(20.0)).is_empty());
            assert_eq!(sends(&proxy.advance_to(1_000.0)).len(), 1);
        }
    }
}

#[test]
fn a_request_of_a_session_in_cooldown_is_not_rejected_for_it() {
    let mut proxy = Proxy::with_targets(&["a"]);
    let session_request = |key, now| NewRequest {
        session: Some(9),
        latency_target: 50.0,
        ..non_idempotent_request(key, now)
    };
    proxy.enqueue(1.0, session_request(1, 1.0));
    proxy.end_attempt(10.0, 1, "a", AttemptOutcome::Cancelled);
    assert_eq!(proxy.enqueue(12.0, session_request(2, 12.0)), None);
    assert_eq!(sends(&proxy.advance_to(2_000.0)), [(2, "a".to_owned())]);
}

#[test]
fn a_cancelled_turn_blocks_its_session_until_its_attempt_has_ended() {
    let mut proxy = Proxy::with_targets(&["a"]);
    proxy.enqueue(1.0, turn(1, 1.0, 9));
    proxy.enqueue(2.0, turn(2, 2.0, 9));
    assert!(proxy
        .iterate_at(3.0, |dispatcher| dispatcher.cancel(RequestKey(1)))
        .is_empty());
    assert_eq!(
        sends(&proxy.end_attempt(4.0, 1, "a", AttemptOutcome::Delivered)),
        [(2, "a".to_owned())]
    );
}
