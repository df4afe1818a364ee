//! Which requests are retried after which outcome, and how the others are answered.

mod common;

use common::{is_rejected, once, request, sends, sent_to, turn, Proxy};
use plankhill_dispatch::retry::{Attempts, ExecutionState};
use plankhill_dispatch::{AttemptOutcome, AttemptResult, Command, Idempotency, RequestKey};

const FATES: [AttemptOutcome; 8] = [
    AttemptOutcome::Delivered,
    AttemptOutcome::Error,
    AttemptOutcome::Rejected,
    AttemptOutcome::TimedOut,
    AttemptOutcome::ConnectFailed,
    AttemptOutcome::Reset,
    AttemptOutcome::Cancelled,
    AttemptOutcome::NotSent,
];

#[test]
fn only_rejected_unsent_and_unconnected_attempts_surely_did_not_execute() {
    let not_run: Vec<AttemptOutcome> = FATES
        .into_iter()
        .filter(|fate| ExecutionState::from_outcome(*fate) == ExecutionState::NotExecuted)
        .collect();
    assert_eq!(
        not_run,
        [
            AttemptOutcome::Rejected,
            AttemptOutcome::ConnectFailed,
            AttemptOutcome::NotSent
        ]
    );
}

#[test]
fn a_non_idempotent_request_is_retried_only_if_not_executed() {
    for fate in FATES {
        let mut attempts = Attempts::default();
        attempts.record(fate);
        let again = attempts.allows_another(Idempotency::NonIdempotent, 3);
        assert_eq!(
            again,
            ExecutionState::from_outcome(fate) == ExecutionState::NotExecuted,
            "{fate:?}"
        );
    }
}

#[test]
fn a_non_idempotent_request_that_may_have_executed_fails_at_once() {
    for fate in [
        AttemptOutcome::Error,
        AttemptOutcome::TimedOut,
        AttemptOutcome::Reset,
        AttemptOutcome::Cancelled,
    ] {
        let mut proxy = Proxy::with(&["a", "b"]);
        let target = proxy.takes(1.0, once(1, 1.0)).expect("sent");
        let commands = proxy.ends(10.0, 1, &target, fate);
        assert_eq!(
            commands,
            [Command::Fail {
                request: RequestKey(1),
                last: fate
            }],
            "{fate:?}"
        );
        assert!(proxy.until(6_000.0).is_empty());
        assert!(proxy.dispatcher.is_empty());
    }
}

#[test]
fn a_rejected_request_is_soon_retried_at_another_target() {
    let mut proxy = Proxy::with(&["a", "b"]);
    let first = proxy.takes(1.0, once(1, 1.0)).expect("sent");
    proxy.ends(2.0, 1, &first, AttemptOutcome::Rejected);
    let again = sent_to(&proxy.until(12.0)).expect("within some milliseconds");
    assert_ne!(again, first);
}

#[test]
fn an_idempotent_request_is_retried_at_another_target_after_a_backoff() {
    let mut proxy = Proxy::with(&["a", "b"]);
    let first = proxy.takes(1.0, request(1, 1.0)).expect("sent");
    assert!(sends(&proxy.ends(2.0, 1, &first, AttemptOutcome::Reset)).is_empty());
    let again = sent_to(&proxy.until(60.0)).expect("after a pause");
    assert_ne!(again, first, "the one that failed is avoided");
}

#[test]
fn attempts_that_may_have_executed_are_bounded() {
    let mut proxy = Proxy::with(&["a", "b", "c"]);
    let first = proxy.takes(1.0, request(1, 1.0)).expect("sent");
    proxy.ends(2.0, 1, &first, AttemptOutcome::Reset);
    let second = sent_to(&proxy.until(60.0)).expect("again");
    let commands = proxy.ends(61.0, 1, &second, AttemptOutcome::Reset);
    assert_eq!(
        commands,
        [Command::Fail {
            request: RequestKey(1),
            last: AttemptOutcome::Reset
        }]
    );
}

#[test]
fn a_request_that_no_target_takes_is_rejected_long_before_its_deadline() {
    let mut proxy = Proxy::with(&["a", "b"]);
    let mut commands = proxy.at(1.0, |dispatcher| dispatcher.enqueue(1.0, once(1, 1.0)));
    let mut now = 1.0;
    while let Some((_, target)) = sends(&commands).into_iter().next() {
        now += 1.0;
        commands = proxy.ends(now, 1, &target, AttemptOutcome::Rejected);
        while commands.is_empty() {
            now = proxy
                .wake_at
                .expect("queued requests have a time-out")
                .max(now);
            commands = proxy.at(now, |_| ());
        }
    }
    assert!(is_rejected(&commands, 1));
    assert!(now < 1_000.0, "rejected at {now}");
}

#[test]
fn without_a_target_a_request_is_rejected_within_a_quarter_of_its_latency_target() {
    let mut proxy = Proxy::with(&[]);
    assert!(proxy
        .at(1.0, |dispatcher| dispatcher.enqueue(1.0, request(1, 1.0)))
        .is_empty());
    let commands = proxy.until(1.0 + 0.25 * 500.0);
    let [Command::Reject { retry_after, .. }] = commands[..] else {
        panic!("{commands:?}")
    };
    assert!((1.0..=1_000.0).contains(&retry_after));
}

#[test]
fn a_lost_answer_leaves_time_for_another_attempt() {
    let mut proxy = Proxy::with(&["a", "b"]);
    let deadline_of = |commands: &[Command]| match commands {
        [Command::Send { deadline, .. }] => *deadline,
        other => panic!("{other:?}"),
    };
    let first = deadline_of(&proxy.at(1.0, |dispatcher| dispatcher.enqueue(1.0, request(1, 1.0))));
    assert!((1_000.0..=2_501.0).contains(&first));
    let stream = deadline_of(&proxy.at(2.0, |dispatcher| dispatcher.enqueue(2.0, turn(2, 2.0, 9))));
    assert_eq!(stream, 5_002.0);
    let binding = deadline_of(&proxy.at(3.0, |dispatcher| dispatcher.enqueue(3.0, once(3, 3.0))));
    assert_eq!(binding, 5_003.0);
}

#[test]
fn an_unsent_attempt_is_retried_at_another_target() {
    let mut proxy = Proxy::with(&["a", "b"]);
    let first = proxy.takes(1.0, once(1, 1.0)).expect("sent");
    proxy.ends(2.0, 1, &first, AttemptOutcome::NotSent);
    assert_ne!(sent_to(&proxy.until(12.0)).expect("soon"), first);
}

#[test]
fn retry_after_closes_the_target() {
    let mut proxy = Proxy::with(&["a"]);
    proxy.takes(1.0, request(1, 1.0));
    let full = AttemptResult {
        retry_after: Some(100.0),
        ..AttemptResult::from_outcome(AttemptOutcome::Rejected)
    };
    proxy.ends_with(2.0, 1, "a", full);
    assert!(sends(&proxy.until(101.0)).is_empty());
    assert_eq!(sends(&proxy.until(110.0)), [(1, "a".to_owned())]);
}
