//! Runs with one planted violation, of every invariant: the checker must report that violation and
//! no other. Similar runs without a violation must pass.

use plankhill_invariants::{
    AttemptEnd, Bounds, Checker, Completion, EventCounts, Idempotency, Invariant, Ms, Observation,
};
use rstest::rstest;

const NON_IDEMPOTENT: Idempotency = Idempotency::NonIdempotent;
const DEDUPLICATED: Idempotency = Idempotency::Deduplicated {
    window: 1000.0,
    one_group: true,
};

fn bounds() -> Bounds {
    Bounds {
        key_cooldown: 300.0,
        ..Bounds::default()
    }
}

fn accepted(event: u64, idempotency: Idempotency, key: Option<u64>) -> Observation {
    accepted_until(10_000.0, event, idempotency, key)
}

fn accepted_until(
    deadline: Ms,
    event: u64,
    idempotency: Idempotency,
    key: Option<u64>,
) -> Observation {
    Observation::Accepted {
        forwarder: 1,
        event,
        origin: event,
        idempotency,
        key,
        deadline,
    }
}

fn sent(event: u64) -> Observation {
    sent_to(event, 1, 1)
}

fn sent_to(event: u64, target: u32, group: u32) -> Observation {
    Observation::AttemptSent {
        forwarder: 1,
        event,
        target,
        group,
        lane: 1,
    }
}

fn sent_by(forwarder: u32, event: u64) -> Observation {
    Observation::AttemptSent {
        forwarder,
        event,
        target: 1,
        group: 1,
        lane: 1,
    }
}

fn attempt_ended(event: u64, outcome: AttemptEnd) -> Observation {
    Observation::AttemptEnded {
        forwarder: 1,
        event,
        outcome,
    }
}

fn completed(event: u64, completion: Completion) -> Observation {
    Observation::Completed {
        forwarder: 1,
        event,
        completion,
        by_notification: false,
    }
}

/// The invariants that are violated by the observations, made 100 ms apart.
fn violated(observations: Vec<Observation>) -> Vec<Invariant> {
    let mut checker = Checker::new(bounds());
    for (at, observation) in observations.into_iter().enumerate() {
        checker.observe(100.0 * at as f64, observation);
    }
    checker
        .violations()
        .iter()
        .map(|violation| violation.invariant)
        .collect()
}

#[rstest]
fn a_valid_run_has_no_violations_and_its_records_are_removed() {
    let mut checker = Checker::new(Bounds {
        effect_retention: 1000.0,
        ..bounds()
    });
    for event in 0..50 {
        let at = 1000.0 * event as f64;
        checker.observe(
            at,
            accepted_until(at + 900.0, event, DEDUPLICATED, Some(event % 3)),
        );
        checker.observe(at + 1.0, sent(event));
        checker.observe(at + 2.0, attempt_ended(event, AttemptEnd::CutShort));
        checker.observe(at + 400.0, sent(event));
        checker.observe(
            at + 402.0,
            Observation::EffectApplied {
                event,
                origin: event,
                idempotency: DEDUPLICATED,
            },
        );
        checker.observe(at + 403.0, attempt_ended(event, AttemptEnd::Delivered));
        checker.observe(at + 403.0, completed(event, Completion::Completed));
    }
    checker.finish(100_000.0);
    assert_eq!(checker.violations(), []);
    assert_eq!(
        checker.event_counts(),
        EventCounts {
            accepted: 50,
            completed: 50
        }
    );
    assert!(
        checker.retained_entries() <= 3,
        "{} records are retained",
        checker.retained_entries()
    );
}

#[rstest]
#[case::two_completions(vec![accepted(1, NON_IDEMPOTENT, None), completed(1, Completion::Rejected), completed(1, Completion::Rejected)], Invariant::CompletedOnce)]
#[case::attempted_after_its_completion(vec![accepted(1, NON_IDEMPOTENT, None), completed(1, Completion::Rejected), sent(1)], Invariant::CompletedOnce)]
#[case::accepted_twice(vec![accepted(1, NON_IDEMPOTENT, None), accepted(1, NON_IDEMPOTENT, None)], Invariant::CompletedOnce)]
#[case::two_attempts_in_flight(vec![accepted(1, NON_IDEMPOTENT, None), sent(1), sent(1)], Invariant::NoDuplicateEffect)]
#[case::non_idempotent_event_retried(vec![accepted(1, NON_IDEMPOTENT, None), sent(1), attempt_ended(1, AttemptEnd::CutShort), sent(1)], Invariant::NoDuplicateEffect)]
#[case::non_idempotent_event_rejected(vec![accepted(1, NON_IDEMPOTENT, None), sent(1), attempt_ended(1, AttemptEnd::Error), completed(1, Completion::Rejected)], Invariant::NoDuplicateEffect)]
#[case::outside_its_group(vec![accepted(1, DEDUPLICATED, None), sent(1), attempt_ended(1, AttemptEnd::CutShort), sent_to(1, 2, 2)], Invariant::NoDuplicateEffect)]
#[case::effect_twice(vec![
    Observation::EffectApplied { event: 1, origin: 7, idempotency: NON_IDEMPOTENT },
    Observation::EffectApplied { event: 2, origin: 7, idempotency: NON_IDEMPOTENT },
], Invariant::NoDuplicateEffect)]
#[case::overtaken(vec![accepted(1, NON_IDEMPOTENT, Some(5)), accepted(2, NON_IDEMPOTENT, Some(5)), sent(2)], Invariant::KeyOrder)]
#[case::key_cooling_down(vec![
    accepted(1, NON_IDEMPOTENT, Some(5)), accepted(2, NON_IDEMPOTENT, Some(5)), sent(1), attempt_ended(1, AttemptEnd::CutShort), completed(1, Completion::Abandoned), sent(2),
], Invariant::KeyOrder)]
#[case::before_the_completion_was_acknowledged(vec![
    accepted(1, NON_IDEMPOTENT, Some(5)), accepted(2, NON_IDEMPOTENT, Some(5)),
    Observation::Completed { forwarder: 1, event: 1, completion: Completion::Rejected, by_notification: true }, sent(2),
], Invariant::KeyOrder)]
#[case::within_a_retry_after(vec![accepted(1, NON_IDEMPOTENT, None), Observation::RetryAfterReceived { forwarder: 1, lane: 1, until: 900.0 }, sent(1)], Invariant::RetryAftersRespected)]
#[case::health_check_within_a_retry_after(vec![
    Observation::RetryAfterReceived { forwarder: 1, lane: 1, until: 900.0 }, Observation::HealthCheckSent { forwarder: 1, target: 1, lane: 1 },
], Invariant::RetryAftersRespected)]
#[case::to_a_draining_target(vec![
    accepted(1, NON_IDEMPOTENT, None), Observation::EndpointListed { forwarder: 1, target: 1, is_draining: true },
    accepted(2, NON_IDEMPOTENT, None), accepted(3, NON_IDEMPOTENT, None), sent(1),
], Invariant::DrainsRespected)]
#[case::overloaded_by_informed_forwarders(vec![
    Observation::OutageBegan { lane: 1 }, Observation::FailureObserved { forwarder: 1, lane: 1 },
    Observation::Overloaded { lane: 1, load: vec![(1, 8.0), (2, 2.0)] },
], Invariant::NoOverloadAfterOutage)]
fn a_planted_violation_is_found(
    #[case] observations: Vec<Observation>,
    #[case] invariant: Invariant,
) {
    assert_eq!(violated(observations), [invariant]);
}

/// Each run differs from a violation above only in the condition that makes it valid.
#[rstest]
#[case::a_retry_after_for_another_lane(vec![accepted(1, NON_IDEMPOTENT, None), Observation::RetryAfterReceived { forwarder: 1, lane: 2, until: 900.0 }, sent(1)])]
#[case::a_retry_after_of_another_forwarder(vec![accepted(1, NON_IDEMPOTENT, None), Observation::RetryAfterReceived { forwarder: 2, lane: 1, until: 900.0 }, sent(1)])]
#[case::within_the_grace(vec![accepted(1, NON_IDEMPOTENT, None), Observation::EndpointListed { forwarder: 1, target: 1, is_draining: true }, sent(1)])]
#[case::surely_not_executed(vec![accepted(1, NON_IDEMPOTENT, None), sent(1), attempt_ended(1, AttemptEnd::NotExecuted), sent(1)])]
#[case::its_own_retry(vec![accepted(1, DEDUPLICATED, Some(5)), sent(1), attempt_ended(1, AttemptEnd::CutShort), sent(1)])]
#[case::overloaded_by_uninformed_forwarders(vec![
    Observation::OutageBegan { lane: 1 }, Observation::FailureObserved { forwarder: 1, lane: 1 },
    Observation::Overloaded { lane: 1, load: vec![(1, 2.0), (2, 8.0)] },
])]
fn a_permitted_run_has_no_violations(#[case] observations: Vec<Observation>) {
    assert_eq!(violated(observations), []);
}

#[rstest]
#[case::after_the_window(DEDUPLICATED, 1200.0, 1)]
#[case::inside_the_window(DEDUPLICATED, 900.0, 0)]
#[case::without_a_window(Idempotency::Idempotent, 5000.0, 0)]
fn repeats_are_deduplicated_within_the_window(
    #[case] idempotency: Idempotency,
    #[case] again: Ms,
    #[case] violations: usize,
) {
    let mut checker = Checker::new(bounds());
    checker.observe(0.0, accepted(1, idempotency, None));
    checker.observe(0.0, sent(1));
    checker.observe(100.0, attempt_ended(1, AttemptEnd::CutShort));
    checker.observe(again, sent(1));
    assert_eq!(checker.violations().len(), violations);
}

#[rstest]
#[case::no_forwarder_was_halted(vec![], 1)]
#[case::it_was_halted(vec![(9_000.0, Observation::Halted { forwarder: 1 })], 0)]
#[case::another_was_halted(vec![(9_000.0, Observation::Halted { forwarder: 2 })], 1)]
#[case::it_had_time_after_its_halt(vec![
    (9_000.0, Observation::Halted { forwarder: 1 }), (11_000.0, Observation::Resumed { forwarder: 1, is_new_process: true }),
], 1)]
fn an_event_without_a_completion_is_found(
    #[case] observations: Vec<(Ms, Observation)>,
    #[case] violations: usize,
) {
    let mut checker = Checker::new(bounds());
    checker.observe(0.0, accepted(1, Idempotency::Idempotent, None));
    for (at, observation) in observations {
        checker.observe(at, observation);
    }
    checker.finish(14_000.0);
    assert_eq!(checker.violations().len(), violations);
}

#[rstest]
#[case::two_forwarders_attempt_at_once(vec![accepted(1, DEDUPLICATED, None), sent_by(1, 1), sent_by(2, 1)], Invariant::NoDuplicateEffect)]
#[case::the_successor_retries_a_non_idempotent_event(
    vec![accepted(1, NON_IDEMPOTENT, None), sent_by(1, 1), attempt_ended(1, AttemptEnd::CutShort), sent_by(2, 1)], Invariant::NoDuplicateEffect)]
#[case::the_successor_attempts_after_the_completion(vec![accepted(1, NON_IDEMPOTENT, None), completed(1, Completion::Abandoned), sent_by(2, 1)], Invariant::CompletedOnce)]
#[case::a_second_completion_by_the_successor(vec![
    accepted(1, NON_IDEMPOTENT, None), completed(1, Completion::Abandoned),
    Observation::Completed { forwarder: 2, event: 1, completion: Completion::Abandoned, by_notification: true },
], Invariant::CompletedOnce)]
#[case::overtaken_at_the_successor(vec![accepted(1, NON_IDEMPOTENT, Some(5)), accepted(2, NON_IDEMPOTENT, Some(5)), sent_by(2, 2)], Invariant::KeyOrder)]
#[case::the_successor_attempts_while_the_key_cools_down(vec![
    accepted(1, NON_IDEMPOTENT, Some(5)), accepted(2, NON_IDEMPOTENT, Some(5)), sent_by(1, 1), attempt_ended(1, AttemptEnd::CutShort),
    completed(1, Completion::Abandoned), sent_by(2, 2),
], Invariant::KeyOrder)]
#[case::an_unconfirmed_non_idempotent_event_twice(vec![
    accepted(1, NON_IDEMPOTENT, None), Observation::AcceptanceUnconfirmed { event: 1 }, sent_by(1, 1), attempt_ended(1, AttemptEnd::CutShort), sent_by(2, 1),
], Invariant::NoDuplicateEffect)]
#[case::above_the_connection_limit(vec![
    Observation::ConnectionLimitSet { target: 1, limit: 2 }, Observation::ConnectionOpened { forwarder: 1, target: 1 },
    Observation::ConnectionOpened { forwarder: 2, target: 1 }, Observation::ConnectionOpened { forwarder: 3, target: 1 },
], Invariant::WithinConnectionLimit)]
#[case::two_servers(vec![
    Observation::ServiceStarted { forwarder: 1, subscriber: 4 }, Observation::ServiceStarted { forwarder: 2, subscriber: 4 },
], Invariant::OneServerPerSubscriber)]
#[case::another_forwarder_ends_the_service(vec![
    Observation::ServiceStarted { forwarder: 1, subscriber: 4 }, Observation::ServiceEnded { forwarder: 2, subscriber: 4 },
], Invariant::OneServerPerSubscriber)]
fn a_violation_between_forwarders_is_found(
    #[case] observations: Vec<Observation>,
    #[case] invariant: Invariant,
) {
    assert_eq!(violated(observations), [invariant]);
}

#[rstest]
#[case::the_successor_continues_in_order(vec![
    accepted(1, DEDUPLICATED, Some(5)), accepted(2, NON_IDEMPOTENT, Some(5)), sent_by(1, 1), attempt_ended(1, AttemptEnd::Error),
    sent_by(2, 1), attempt_ended(1, AttemptEnd::Delivered), completed(1, Completion::Completed), sent_by(2, 2),
])]
#[case::an_unconfirmed_event_delays_no_other(vec![
    accepted(1, NON_IDEMPOTENT, Some(5)), Observation::AcceptanceUnconfirmed { event: 1 }, accepted(2, NON_IDEMPOTENT, Some(5)), sent_by(1, 2),
])]
#[case::a_connection_that_moved(vec![
    Observation::ConnectionLimitSet { target: 1, limit: 1 }, Observation::ConnectionOpened { forwarder: 1, target: 1 },
    Observation::ConnectionClosed { forwarder: 1, target: 1 }, Observation::ConnectionOpened { forwarder: 2, target: 1 },
])]
#[case::a_subscriber_that_moved(vec![
    Observation::ServiceStarted { forwarder: 1, subscriber: 4 }, Observation::ServiceEnded { forwarder: 1, subscriber: 4 },
    Observation::ServiceStarted { forwarder: 2, subscriber: 4 },
])]
fn a_permitted_run_of_several_forwarders_has_no_violations(#[case] observations: Vec<Observation>) {
    assert_eq!(violated(observations), []);
}

#[rstest]
#[case::accepted_and_not_completed(vec![accepted(1, NON_IDEMPOTENT, None)], &[Invariant::NoAcceptedEventLost])]
#[case::completed(vec![accepted(1, NON_IDEMPOTENT, None), completed(1, Completion::Rejected)], &[])]
#[case::never_confirmed(vec![accepted(1, NON_IDEMPOTENT, None), Observation::AcceptanceUnconfirmed { event: 1 }], &[])]
#[case::served_by_no_forwarder(vec![
    Observation::ServiceStarted { forwarder: 1, subscriber: 4 }, Observation::ServiceEnded { forwarder: 1, subscriber: 4 },
], &[Invariant::OneServerPerSubscriber])]
fn after_recovery_every_accepted_event_is_completed(
    #[case] observations: Vec<Observation>,
    #[case] violated: &[Invariant],
) {
    let mut checker = Checker::new(bounds());
    for observation in observations {
        checker.observe(0.0, observation);
    }
    checker.finish_after_recovery(100.0);
    let invariants: Vec<Invariant> = checker
        .violations()
        .iter()
        .map(|violation| violation.invariant)
        .collect();
    assert_eq!(invariants, violated);
}

/// With replication a halt excuses late completions only until a successor has taken the events over.
#[rstest]
#[case::the_successor_has_had_its_time(Some(2_000.0), 13_000.0, 1)]
#[case::the_successor_has_some_time_left(Some(2_000.0), 11_500.0, 0)]
#[case::there_is_no_replication(None, 13_000.0, 0)]
fn a_halted_forwarder_excuses_until_its_successor_has_its_events(
    #[case] takeover_timeout: Option<Ms>,
    #[case] ends: Ms,
    #[case] violations: usize,
) {
    let mut checker = Checker::new(Bounds {
        takeover_timeout,
        ..bounds()
    });
    checker.observe(0.0, accepted(1, Idempotency::Idempotent, None));
    checker.observe(9_500.0, Observation::Halted { forwarder: 1 });
    checker.observe(ends, completed(1, Completion::Abandoned));
    assert_eq!(checker.violations().len(), violations);
}
