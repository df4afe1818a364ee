//! Targets of a destination: selection, call timeouts and connections.

mod host;

use host::{attempts_in, default_host, event, target, Host, DEDUPLICATED, IDEMPOTENT};
use plankhill_decisions::interface::{
    AttemptOutcome, AttemptReport, DestinationId, EndpointState, Ms,
};
use rstest::rstest;

#[rstest]
fn nothing_is_sent_to_a_draining_target() {
    let mut host = default_host();
    host.list(1.0, "t", 1, 0, EndpointState::Draining);
    assert!(host.accept(2.0, "a", IDEMPOTENT, 1, None).is_empty());
    host.list(3.0, "t2", 1, 0, EndpointState::Running);
    assert_eq!(
        host.run(4.0, |scheduler| scheduler.on_endpoint_list_replaced()),
        ["cancel unsent t2"],
        "the call may not have been written yet"
    );
    let effects = host.accept(5.0, "b", IDEMPOTENT, 1, None);
    assert_eq!(
        attempts_in(&effects),
        0,
        "a complete list without t2 removes it: {effects:?}"
    );
}

/// Regression: events for destinations that were not in the endpoint list were accepted.
#[rstest]
fn a_destination_is_known_while_it_is_listed_and_for_a_minute_after() {
    let mut host = default_host();
    let known = |host: &Host, of| host.scheduler.has_destination(DestinationId(of));
    assert!(known(&host, 1) && !known(&host, 70_000));
    host.run(10.0, |scheduler| {
        scheduler.set_endpoint_state(&target("t"), EndpointState::Removed)
    });
    host.idle(50_000.0);
    assert!(known(&host, 1), "new targets may still be listed");
    host.idle(70_100.0);
    assert!(!known(&host, 1) && known(&host, 2));
}

#[rstest]
fn of_two_targets_the_one_that_failed_is_ejected() {
    let mut host = default_host();
    host.list(0.0, "t2", 1, 0, EndpointState::Running);
    let effects = host.accept(1.0, "a", DEDUPLICATED, 1, None);
    host.end_attempt(2.0, "a", AttemptOutcome::ConnectFailed);
    for at in 0..10 {
        let name = format!("e{at}");
        let next = host.accept(3.0 + at as f64, &name, DEDUPLICATED, 1, None);
        assert_ne!(effects[0].rsplit(' ').next(), next[0].rsplit(' ').next());
        host.end_attempt(3.0 + at as f64, &name, AttemptOutcome::Delivered);
    }
}

/// Regression: nine of ten calls opened a new connection, although another target had an idle one.
#[rstest]
fn of_two_equal_targets_the_one_with_an_idle_connection_is_selected() {
    let mut host = default_host();
    host.list(0.0, "t2", 1, 0, EndpointState::Running);
    let effects = host.accept(1.0, "first", IDEMPOTENT, 1, None);
    host.end_attempt(10.0, "first", AttemptOutcome::Delivered);
    for n in 0..10 {
        let (name, at) = (format!("e{n}"), 100.0 * (n + 1) as f64);
        let next = host.accept(at, &name, IDEMPOTENT, 1, None);
        assert_eq!(
            next[0].split(" to ").last(),
            effects[0].split(" to ").last()
        );
        host.end_attempt(at + 10.0, &name, AttemptOutcome::Delivered);
    }
}

/// Regression: calls took 22 ms, and each call without a response occupied one of 13 calls in
/// flight for 1.5 s.
#[rstest]
#[case(20.0, 150.0..300.0)]
#[case(200.0, 1500.0..1501.0)]
fn the_timeout_of_a_call_follows_the_response_times(
    #[case] elapsed: Ms,
    #[case] expected_timeout: std::ops::Range<Ms>,
) {
    let mut host = default_host();
    for step in 0..200 {
        let (now, name) = (1.0 + 50.0 * step as f64, format!("e{step}"));
        host.accept(now, &name, IDEMPOTENT, 1, None);
        host.run(now, |scheduler| {
            scheduler
                .on_attempt_ended(
                    &event(&name),
                    AttemptReport {
                        elapsed,
                        ..AttemptReport::from_outcome(AttemptOutcome::Delivered)
                    },
                )
                .expect("was sent")
        });
    }
    assert!(
        expected_timeout.contains(&host.last_timeout),
        "{} ms",
        host.last_timeout
    );
}

/// Regression: idle connections were dropped silently, and each call on one was lost.
#[rstest]
fn idle_connections_are_closed_once_calls_on_them_are_lost() {
    let mut host = default_host();
    host.accept(1.0, "fresh", IDEMPOTENT, 1, None);
    assert!(host
        .end_attempt(100.0, "fresh", AttemptOutcome::Delivered)
        .is_empty());
    assert!(
        host.idle(3000.0).is_empty(),
        "an idle connection is kept while no call on one is lost"
    );
    host.accept(3001.0, "lost", IDEMPOTENT, 1, None);
    host.end_attempt(4600.0, "lost", AttemptOutcome::TimedOut);
    assert!(host.idle(4901.0).contains(&"close t".into()));
    host.accept(6000.0, "next", IDEMPOTENT, 1, None);
    host.end_attempt(6100.0, "next", AttemptOutcome::Delivered);
    host.end_attempt(6200.0, "lost", AttemptOutcome::Delivered);
    assert_eq!(host.idle(6501.0), ["close t"]);
}

/// Regression: idle connections of other forwarders used up the connections that a target accepts,
/// a third of all connections were refused, and healthy destinations went offline.
#[rstest]
#[case(AttemptOutcome::Delivered, 1100.0, true)]
#[case(AttemptOutcome::Rejected, 1100.0, true)]
#[case(AttemptOutcome::Delivered, 8000.0, false)]
fn idle_connections_are_closed_where_a_refused_connection_is_soon_followed_by_an_answer(
    #[case] answer: AttemptOutcome,
    #[case] answered: f64,
    #[case] closes: bool,
) {
    let mut host = default_host();
    host.accept(1.0, "a", IDEMPOTENT, 1, None);
    host.end_attempt(20.0, "a", AttemptOutcome::ConnectFailed);
    assert!(host.idle(1000.0).contains(&"send a to t".into()));
    host.end_attempt(answered, "a", answer);
    host.accept(9_000.0, "b", IDEMPOTENT, 2, None);
    host.end_attempt(9_100.0, "b", AttemptOutcome::Delivered);
    assert_eq!(
        host.idle(9_401.0).contains(&"close u".into()),
        closes,
        "connections to other destinations of the kind are closed as well"
    );
}

/// Regression: for a fleet of two hundred, the evidence of the first minute came too late.
#[rstest]
#[case(2.0, false)]
#[case(200.0, true)]
fn a_fleet_larger_than_the_advertised_concurrency_keeps_no_idle_connections(
    #[case] forwarders: f64,
    #[case] closes: bool,
) {
    let mut host = Host::new(|config| config.forwarder_count = forwarders);
    host.run(0.0, |scheduler| {
        scheduler.set_advertised_rate(DestinationId(1), 200.0)
    });
    host.run_healthily(1500.0);
    assert_eq!(host.idle(1900.0).contains(&"close t".into()), closes);
}
