//! Stories of events that another forwarder held.

mod host;

use host::*;
use plankhill_decisions::interface::*;
use rstest::rstest;

fn ordered() -> Host {
    let mut host = Host::new(|terms| {
        terms
            .traffic_types
            .iter_mut()
            .for_each(|traffic| traffic.ordered = true)
    });
    host.notices = true;
    host
}

/// Event `a`, sent once elsewhere at 0.5, whose call may be out until 4000.
fn adopts(host: &mut Host, now: Ms, traffic: TrafficTypeId) -> Vec<String> {
    host.at(now, |f| {
        f.accept_event(
            event("a"),
            DestinationId(1),
            traffic,
            20_000.0,
            Some(OrderKey(5)),
        );
        f.restore_attempts(&event("a"), 1, Some((0.5, ZoneId(0))), true);
        f.defer_for_remote_attempt(&event("a"), 4000.0);
    })
}

#[rstest]
fn neither_an_event_that_is_out_elsewhere_nor_the_next_of_its_key_is_sent_before_that_has_ended() {
    let mut host = ordered();
    assert!(adopts(&mut host, 1.0, RETRIABLE).is_empty());
    assert!(host.take(2.0, "b", RETRIABLE, 1, Some(5)).is_empty());
    assert!(host.idle(3999.0).is_empty());
    assert_eq!(host.idle(4000.0), ["send a to t"], "it is retriable again");
    assert_eq!(
        host.ends(4100.0, "a", AttemptOutcome::Delivered),
        ["send b to t"]
    );
}

#[rstest]
fn a_binding_event_that_is_out_elsewhere_is_written_off_at_once_and_its_key_rests_until_then() {
    let mut host = ordered();
    assert_eq!(adopts(&mut host, 1.0, BINDING), ["write off a"]);
    assert!(host.take(2.0, "b", BINDING, 1, Some(5)).is_empty());
    assert!(
        host.at(500.0, |f| f.on_completion_acknowledged(&event("a")))
            .is_empty(),
        "past the rest after a restart"
    );
    assert!(host.idle(3999.0).is_empty());
    assert_eq!(host.idle(4000.0), ["send b to t"]);
}

#[rstest]
fn a_fingerprint_that_lapses_before_the_call_elsewhere_has_ended_is_given_up_at_once() {
    let mut host = Host::new(|terms| {
        terms.traffic_types[FINGERPRINTED.0].idempotency = Idempotency::Deduplicated {
            window: 3000.0,
            per_zone: true,
        };
    });
    assert_eq!(adopts(&mut host, 1.0, FINGERPRINTED), ["write off a"]);
}

#[rstest]
fn a_binding_event_that_may_have_run_elsewhere_is_written_off_where_it_waits() {
    let mut host = ordered();
    host.take(1.0, "first", BINDING, 1, Some(5));
    assert!(
        host.take(2.0, "a", BINDING, 1, Some(5)).is_empty(),
        "behind the first of its key"
    );
    let told = host.at(3.0, |f| {
        f.merge_remote_attempts(&event("a"), 1, Some((0.5, ZoneId(0))))
    });
    assert_eq!(told, ["write off a"]);
}

#[rstest]
#[case::delivered(AttemptOutcome::Delivered, &[])]
#[case::surely_not_run(AttemptOutcome::NotSent, &["write off a"])]
fn one_that_is_out_here_waits_for_its_outcome_before_it_is_written_off(
    #[case] fate: AttemptOutcome,
    #[case] then: &[&str],
) {
    let mut host = ordered();
    assert_eq!(host.take(1.0, "a", BINDING, 1, Some(5)), ["send a to t"]);
    assert!(host
        .at(2.0, |f| f.merge_remote_attempts(
            &event("a"),
            1,
            Some((0.5, ZoneId(0)))
        ))
        .is_empty());
    assert_eq!(host.ends(100.0, "a", fate), then);
}

#[rstest]
fn sends_on_both_sides_add_up_and_the_earliest_that_may_have_run_counts() {
    let mut host = Host::new(|terms| terms.max_attempts = 3);
    host.take(10.0, "a", FINGERPRINTED, 1, None);
    host.ends(100.0, "a", AttemptOutcome::Error);
    assert!(host
        .at(101.0, |f| f.merge_remote_attempts(
            &event("a"),
            1,
            Some((1.0, ZoneId(0)))
        ))
        .is_empty());
    let told = host.idle(3000.0);
    assert_eq!(told, ["send a to t"], "within the window of the first send");
    assert_eq!(
        host.ends(3100.0, "a", AttemptOutcome::Error),
        ["dismiss a"],
        "three sends were made"
    );
}
