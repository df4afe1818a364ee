//! Events that another forwarder owned before, and that forwarder's attempts.

mod host;

use host::{event, Host, DEDUPLICATED, IDEMPOTENT, NON_IDEMPOTENT};
use plankhill_decisions::interface::{
    AttemptOutcome, DestinationId, Idempotency, Ms, OrderKey, TrafficTypeId, ZoneId,
};
use rstest::rstest;

fn ordered_host() -> Host {
    let mut host = Host::new(|config| {
        for traffic_type in &mut config.traffic_types {
            traffic_type.ordered = true;
        }
    });
    host.by_notification = true;
    host
}

/// Takes over event `a`, which another forwarder attempted once at 0.5, and whose call may be in
/// flight until 4000.
fn take_over(host: &mut Host, now: Ms, traffic: TrafficTypeId) -> Vec<String> {
    host.run(now, |scheduler| {
        scheduler.accept_event(
            event("a"),
            DestinationId(1),
            traffic,
            20_000.0,
            Some(OrderKey(5)),
        );
        scheduler.restore_attempts(&event("a"), 1, Some((0.5, ZoneId(0))), true);
        scheduler.defer_for_remote_attempt(&event("a"), 4000.0);
    })
}

#[rstest]
fn neither_an_event_in_flight_elsewhere_nor_the_next_of_its_key_is_attempted_before_that_call_ends()
{
    let mut host = ordered_host();
    assert!(take_over(&mut host, 1.0, IDEMPOTENT).is_empty());
    assert!(host.accept(2.0, "b", IDEMPOTENT, 1, Some(5)).is_empty());
    assert!(host.idle(3999.0).is_empty());
    assert_eq!(
        host.idle(4000.0),
        ["send a to t"],
        "the event may be retried"
    );
    assert_eq!(
        host.end_attempt(4100.0, "a", AttemptOutcome::Delivered),
        ["send b to t"]
    );
}

#[rstest]
fn a_non_idempotent_event_in_flight_elsewhere_is_abandoned_at_once_and_its_key_cools_down_until_then(
) {
    let mut host = ordered_host();
    assert_eq!(take_over(&mut host, 1.0, NON_IDEMPOTENT), ["abandon a"]);
    assert!(host.accept(2.0, "b", NON_IDEMPOTENT, 1, Some(5)).is_empty());
    assert!(
        host.run(500.0, |scheduler| scheduler
            .on_completion_acknowledged(&event("a")))
            .is_empty(),
        "later than the cool-down after a restart"
    );
    assert!(host.idle(3999.0).is_empty());
    assert_eq!(host.idle(4000.0), ["send b to t"]);
}

#[rstest]
fn an_event_whose_deduplication_window_ends_before_the_call_elsewhere_is_abandoned_at_once() {
    let mut host = Host::new(|config| {
        config.traffic_types[DEDUPLICATED.0].idempotency = Idempotency::Deduplicated {
            window: 3000.0,
            per_zone: true,
        };
    });
    assert_eq!(take_over(&mut host, 1.0, DEDUPLICATED), ["abandon a"]);
}

#[rstest]
fn a_non_idempotent_event_that_may_have_run_elsewhere_is_abandoned_where_it_is_queued() {
    let mut host = ordered_host();
    host.accept(1.0, "first", NON_IDEMPOTENT, 1, Some(5));
    assert!(
        host.accept(2.0, "a", NON_IDEMPOTENT, 1, Some(5)).is_empty(),
        "queued behind the first event of its key"
    );
    let effects = host.run(3.0, |scheduler| {
        scheduler.merge_remote_attempts(&event("a"), 1, Some((0.5, ZoneId(0))))
    });
    assert_eq!(effects, ["abandon a"]);
}

#[rstest]
#[case::delivered(AttemptOutcome::Delivered, &[])]
#[case::not_executed(AttemptOutcome::NotSent, &["abandon a"])]
fn an_event_in_flight_here_waits_for_its_outcome_before_it_is_abandoned(
    #[case] outcome: AttemptOutcome,
    #[case] expected: &[&str],
) {
    let mut host = ordered_host();
    assert_eq!(
        host.accept(1.0, "a", NON_IDEMPOTENT, 1, Some(5)),
        ["send a to t"]
    );
    assert!(host
        .run(2.0, |scheduler| scheduler.merge_remote_attempts(
            &event("a"),
            1,
            Some((0.5, ZoneId(0)))
        ))
        .is_empty());
    assert_eq!(host.end_attempt(100.0, "a", outcome), expected);
}

#[rstest]
fn attempts_on_both_sides_add_up_and_the_earliest_that_may_have_run_counts() {
    let mut host = Host::new(|config| config.max_attempts = 3);
    host.accept(10.0, "a", DEDUPLICATED, 1, None);
    host.end_attempt(100.0, "a", AttemptOutcome::Error);
    assert!(host
        .run(101.0, |scheduler| scheduler.merge_remote_attempts(
            &event("a"),
            1,
            Some((1.0, ZoneId(0)))
        ))
        .is_empty());
    let effects = host.idle(3000.0);
    assert_eq!(
        effects,
        ["send a to t"],
        "within the window of the first attempt"
    );
    assert_eq!(
        host.end_attempt(3100.0, "a", AttemptOutcome::Error),
        ["reject a"],
        "three attempts were made"
    );
}
