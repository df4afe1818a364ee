//! Tests of retries: which requests are retried after which outcome, and the responses to the
//! others.

mod common;

use common::{is_rejected, non_idempotent_request, request, sends, sent_to, turn, Proxy};
use plankhill_dispatch::retry::{Attempts, ExecutionState};
use plankhill_dispatch::{AttemptOutcome, AttemptResult, Command, Idempotency, RequestKey};

const OUTCOMES: [AttemptOutcome; 8] = [
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
fn only_rejected_unsent_and_unconnected_attempts_certainly_did_not_execute() {
    let not_executed: Vec<AttemptOutcome> = OUTCOMES
        .into_iter()
        .filter(|outcome| ExecutionState::from_outcome(*outcome) == ExecutionState::NotExecuted)
        .collect();
    assert_eq!(
        not_executed,
        [
            AttemptOutcome::Rejected,
            AttemptOutcome::ConnectFailed,
            AttemptOutcome::NotSent
        ]
    );
}

#[test]
fn a_non_idempotent_request_is_retried_only_if_not_executed() {
    for outcome in OUTCOMES {
        let mut attempts = Attempts::default();
        attempts.record(outcome);
        let retry = attempts.allows_another(Idempotency::NonIdempotent, 3);
        assert_eq!(
            retry,
            ExecutionState::from_outcome(outcome) == ExecutionState::NotExecuted,
            "{outcome:?}"
        );
    }
}

#[test]
fn a_non_idempotent_request_that_may_have_executed_fails_at_once() {
    for outcome in [
        AttemptOutcome::Error,
        AttemptOutcome::TimedOut,
        AttemptOutcome::Reset,
        AttemptOutcome::Cancelled,
    ] {
        let mut proxy = Proxy::with_targets(&["a", "b"]);
        let target = proxy
            .enqueue(1.0, non_idempotent_request(1, 1.0))
            .expect("sent");
        let commands = proxy.end_attempt(10.0, 1, &target, outcome);
        assert_eq!(
            commands,
            [Command::Fail {
                request: RequestKey(1),
                last: outcome
            }],
            "{outcome:?}"
        );
        assert!(proxy.advance_to(6_000.0).is_empty());
        assert!(proxy.dispatcher.is_empty());
    }
}

#[test]
fn a_rejected_request_is_soon_retried_at_another_target() {
    let mut proxy = Proxy::with_targets(&["a", "b"]);
    let first = proxy
        .enqueue(1.0, non_idempotent_request(1, 1.0))
        .expect("sent");
    proxy.end_attempt(2.0, 1, &first, AttemptOutcome::Rejected);
    let retry = sent_to(&proxy.advance_to(12.0)).expect("retried within a few milliseconds");
    assert_ne!(retry, first);
}

#[test]
fn an_idempotent_request_is_retried_at_another_target_after_a_backoff() {
    let mut proxy = Proxy::with_targets(&["a", "b"]);
    let first = proxy.enqueue(1.0, request(1, 1.0)).expect("sent");
    assert!(sends(&proxy.end_attempt(2.0, 1, &first, AttemptOutcome::Reset)).is_empty());
    let retry = sent_to(&proxy.advance_to(60.0)).expect("retried after a backoff");
    assert_ne!(retry, first, "the target that failed is avoided");
}

#[test]
fn attempts_that_may_have_executed_are_bounded() {
    let mut proxy = Proxy::with_targets(&["a", "b", "c"]);
    let first = proxy.enqueue(1.0, request(1, 1.0)).expect("sent");
    proxy.end_attempt(2.0, 1, &first, AttemptOutcome::Reset);
    let second = sent_to(&proxy.advance_to(60.0)).expect("retried");
    let commands = proxy.end_attempt(61.0, 1, &second, AttemptOutcome::Reset);
    assert_eq!(
        commands,
        [Command::Fail {
            request: RequestKey(1),
            last: AttemptOutcome::Reset
        }]
    );
}

#[test]
fn a_request_that_no_target_accepts_is_rejected_long_before_its_deadline() {
    let mut proxy = Proxy::with_targets(&["a", "b"]);
    let mut commands = proxy.iterate_at(1.0, |dispatcher| {
        dispatcher.enqueue(1.0, non_idempotent_request(1, 1.0))
    });
    let mut now = 1.0;
    while let Some((_, target)) = sends(&commands).into_iter().next() {
        now += 1.0;
        commands = proxy.end_attempt(now, 1, &target, AttemptOutcome::Rejected);
        while commands.is_empty() {
            now = proxy
                .wake_at
                .expect("queued requests have a timeout")
                .max(now);
            commands = proxy.iterate_at(now, |_| ());
        }
    }
    assert!(is_rejected(&commands, 1));
    assert!(now < 1_000.0, "rejected at {now}");
}

#[test]
fn without_a_target_a_request_is_rejected_within_a_quarter_of_its_latency_target() {
    let mut proxy = Proxy::with_targets(&[]);
    assert!(proxy
        .iterate_at(1.0, |dispatcher| dispatcher.enqueue(1.0, request(1, 1.0)))
        .is_empty());
    let commands = proxy.advance_to(1.0 + 0.25 * 500.0);
    let [Command::Reject { retry_after, .. }] = commands[..] else {
        panic!("{commands:?}")
    };
    assert!((1.0..=1_000.0).contains(&retry_after));
}

#[test]
fn a_lost_response_leaves_time_for_another_attempt() {
    let mut proxy = Proxy::with_targets(&["a", "b"]);
    let deadline_of = |commands: &[Command]| match commands {
        [Command::Send { deadline, .. }] => *deadline,
        other => panic!("{other:?}"),
    };
    let first =
        deadline_of(&proxy.iterate_at(1.0, |dispatcher| dispatcher.enqueue(1.0, request(1, 1.0))));
    assert!((1_000.0..=2_501.0).contains(&first));
    let stream_deadline =
        deadline_of(&proxy.iterate_at(2.0, |dispatcher| dispatcher.enqueue(2.0, turn(2, 2.0, 9))));
    assert_eq!(stream_deadline, 5_002.0);
    let non_idempotent_deadline = deadline_of(&proxy.iterate_at(3.0, |dispatcher| {
        dispatcher.enqueue(3.0, non_idempotent_request(3, 3.0))
    }));
    assert_eq!(non_idempotent_deadline, 5_003.0);
}

#[test]
fn an_unsent_attempt_is_retried_at_another_target() {
    let mut proxy = Proxy::with_targets(&["a", "b"]);
    let first = proxy
        .enqueue(1.0, non_idempotent_request(1, 1.0))
        .expect("sent");
    proxy.end_attempt(2.0, 1, &first, AttemptOutcome::NotSent);
    assert_ne!(
        sent_to(&proxy.advance_to(12.0)).expect("retried soon"),
        first
    );
}

#[test]
fn retry_after_closes_the_target() {
    let mut proxy = Proxy::with_targets(&["a"]);
    proxy.enqueue(1.0, request(1, 1.0));
    let rejection = AttemptResult {
        retry_after: Some(100.0),
        ..AttemptResult::from_outcome(AttemptOutcome::Rejected)
    };
    proxy.end_attempt_with(2.0, 1, "a", rejection);
    assert!(sends(&proxy.advance_to(101.0)).is_empty());
    assert_eq!(sends(&proxy.advance_to(110.0)), [(1, "a".to_owned())]);
}
