//! One turn of a session is in flight at a time, in the order of arrival; requests without a
//! session wait behind none.

mod common;

use common::{is_failed, once, sends, turn, Proxy};
use plankhill_dispatch::{AttemptOutcome, NewRequest, RequestKey};

#[test]
fn turns_of_a_session_are_sent_one_at_a_time_in_order() {
    let mut proxy = Proxy::with(&["a", "b"]);
    let first = proxy.takes(1.0, turn(1, 1.0, 9)).expect("sent at once");
    assert_eq!(proxy.takes(2.0, turn(2, 2.0, 9)), None);
    assert_eq!(proxy.takes(3.0, turn(3, 3.0, 9)), None);
    assert!(
        proxy.takes(4.0, turn(4, 4.0, 8)).is_some(),
        "another session"
    );
    assert_eq!(
        sends(&proxy.ends(10.0, 1, &first, AttemptOutcome::Delivered))[0].0,
        2
    );
}

#[test]
fn requests_without_a_session_wait_behind_nothing() {
    let mut proxy = Proxy::with(&["a"]);
    for key in 0..10 {
        assert!(proxy.takes(1.0, once(key, 1.0)).is_some());
    }
}

#[test]
fn after_an_error_the_next_turn_is_sent_at_once_and_after_a_reset_it_waits() {
    for (fate, rests) in [
        (AttemptOutcome::Error, false),
        (AttemptOutcome::Reset, true),
        (AttemptOutcome::Cancelled, true),
    ] {
        let mut proxy = Proxy::with(&["a", "b"]);
        let of_session = |key| NewRequest {
            session: Some(9),
            ..once(key, 1.0)
        };
        let target = proxy.takes(1.0, of_session(1)).expect("sent");
        proxy.takes(1.0, of_session(2));
        let commands = proxy.ends(10.0, 1, &target, fate);
        assert!(is_failed(&commands, 1));
        assert_eq!(sends(&commands).is_empty(), rests, "{fate:?}");
        if rests {
            assert!(sends(&proxy.until(20.0)).is_empty());
            assert_eq!(sends(&proxy.until(1_000.0)).len(), 1);
        }
    }
}

#[test]
fn a_request_of_a_session_in_cooldown_is_not_rejected_for_it() {
    let mut proxy = Proxy::with(&["a"]);
    let try_of = |key, now| NewRequest {
        session: Some(9),
        latency_target: 50.0,
        ..once(key, now)
    };
    proxy.takes(1.0, try_of(1, 1.0));
    proxy.ends(10.0, 1, "a", AttemptOutcome::Cancelled);
    assert_eq!(proxy.takes(12.0, try_of(2, 12.0)), None);
    assert_eq!(sends(&proxy.until(2_000.0)), [(2, "a".to_owned())]);
}

#[test]
fn a_cancelled_turn_blocks_its_session_until_its_attempt_has_ended() {
    let mut proxy = Proxy::with(&["a"]);
    proxy.takes(1.0, turn(1, 1.0, 9));
    proxy.takes(2.0, turn(2, 2.0, 9));
    assert!(proxy
        .at(3.0, |dispatcher| dispatcher.cancel(RequestKey(1)))
        .is_empty());
    assert_eq!(
        sends(&proxy.ends(4.0, 1, "a", AttemptOutcome::Delivered)),
        [(2, "a".to_owned())]
    );
}
