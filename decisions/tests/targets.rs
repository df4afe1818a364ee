//! Stories of the targets of a destination: which one is called, for how long, over which connection.

mod host;

use host::*;
use plankhill_decisions::interface::*;
use rstest::rstest;

#[rstest]
fn nothing_goes_to_a_target_that_leaves() {
    let mut host = plain();
    host.at(1.0, |f| {
        f.on_endpoint_listed(
            target("t"),
            DestinationId(1),
            DestinationKindId(0),
            ZoneId(0),
            EndpointState::Draining,
        )
    });
    assert!(host.take(2.0, "a", RETRIABLE, 1, None).is_empty());
    host.at(3.0, |f| {
        f.on_endpoint_listed(
            target("t2"),
            DestinationId(1),
            DestinationKindId(0),
            ZoneId(0),
            EndpointState::Running,
        )
    });
    assert_eq!(
        host.at(4.0, |f| f.on_endpoint_list_replaced()),
        ["take back t2"],
        "its call may not be written yet"
    );
    let told = host.take(5.0, "b", RETRIABLE, 1, None);
    assert_eq!(
        sends(&told),
        0,
        "a whole list without it took t2 away: {told:?}"
    );
}

/// Met on days with bad clients: events for destinations that nobody lists were taken on.
#[rstest]
fn a_destination_is_known_while_it_is_listed_and_for_a_minute_after() {
    let mut host = plain();
    let known = |host: &Host, of| host.forwarder.knows_destination(DestinationId(of));
    assert!(known(&host, 1) && !known(&host, 70_000));
    host.at(10.0, |f| {
        f.set_endpoint_state(&target("t"), EndpointState::Removed)
    });
    host.idle(50_000.0);
    assert!(known(&host, 1), "its next targets may be on the way");
    host.idle(70_100.0);
    assert!(!known(&host, 1) && known(&host, 2));
}

#[rstest]
fn of_two_targets_the_one_that_failed_is_left_alone() {
    let mut host = plain();
    host.at(0.0, |f| {
        f.on_endpoint_listed(
            target("t2"),
            DestinationId(1),
            DestinationKindId(0),
            ZoneId(0),
            EndpointState::Running,
        )
    });
    let told = host.take(1.0, "a", FINGERPRINTED, 1, None);
    host.ends(2.0, "a", AttemptOutcome::ConnectFailed);
    for at in 0..10 {
        let name = format!("e{at}");
        let next = host.take(3.0 + at as f64, &name, FINGERPRINTED, 1, None);
        assert_ne!(told[0].rsplit(' ').next(), next[0].rsplit(' ').next());
        host.ends(3.0 + at as f64, &name, AttemptOutcome::Delivered);
    }
}

/// Met on nairobi-relay quiet: nine of ten events paid for a new connection, though one stood idle beside it.
#[rstest]
fn of_two_targets_alike_the_one_with_an_idle_connection_is_taken() {
    let mut host = plain();
    host.at(0.0, |f| {
        f.on_endpoint_listed(
            target("t2"),
            DestinationId(1),
            DestinationKindId(0),
            ZoneId(0),
            EndpointState::Running,
        )
    });
    let told = host.take(1.0, "first", RETRIABLE, 1, None);
    host.ends(10.0, "first", AttemptOutcome::Delivered);
    for n in 0..10 {
        let (name, at) = (format!("e{n}"), 100.0 * (n + 1) as f64);
        let next = host.take(at, &name, RETRIABLE, 1, None);
        assert_eq!(next[0].split(" to ").last(), told[0].split(" to ").last());
        host.ends(at + 10.0, &name, AttemptOutcome::Delivered);
    }
}

/// Met on the wide day: calls were over in 22 ms, and each that got no answer pinned one of 13 slots for 1.5 s.
#[rstest]
#[case(20.0, 150.0..300.0)]
#[case(200.0, 1500.0..1501.0)]
fn the_time_that_calls_are_given_goes_by_what_answers_take(
    #[case] took: Ms,
    #[case] given: std::ops::Range<Ms>,
) {
    let mut host = plain();
    for step in 0..200 {
        let (now, name) = (1.0 + 50.0 * step as f64, format!("e{step}"));
        host.take(now, &name, RETRIABLE, 1, None);
        host.at(now, |f| {
            f.on_attempt_ended(
                &event(&name),
                AttemptReport {
                    elapsed: took,
                    ..AttemptReport::from_outcome(AttemptOutcome::Delivered)
                },
            )
            .expect("was sent")
        });
    }
    assert!(given.contains(&host.given), "{} ms", host.given);
}

/// Met on amman-tyre-centres-later rough-2: idle connections were dropped unseen, and each call on one was lost.
#[rstest]
fn idle_connections_are_closed_once_calls_on_them_are_lost() {
    let mut host = plain();
    host.take(1.0, "fresh", RETRIABLE, 1, None);
    assert!(host
        .ends(100.0, "fresh", AttemptOutcome::Delivered)
        .is_empty());
    assert!(
        host.idle(3000.0).is_empty(),
        "kept while nothing speaks against it"
    );
    host.take(3001.0, "lost", RETRIABLE, 1, None);
    host.ends(4600.0, "lost", AttemptOutcome::TimedOut);
    assert!(host.idle(4901.0).contains(&"close t".into()));
    host.take(6000.0, "next", RETRIABLE, 1, None);
    host.ends(6100.0, "next", AttemptOutcome::Delivered);
    host.ends(6200.0, "lost", AttemptOutcome::Delivered);
    assert_eq!(host.idle(6501.0), ["close t"]);
}

/// Met on nairobi-relay and lahore-outbound big-1 and on seoul-delivery: idle connections of others took all
/// that a target accepts, a third of all connections were refused, and destinations that were well were parked.
#[rstest]
#[case(AttemptOutcome::Delivered, 1100.0, true)]
#[case(AttemptOutcome::Rejected, 1100.0, true)]
#[case(AttemptOutcome::Delivered, 8000.0, false)]
fn idle_connections_are_closed_where_a_refused_one_is_followed_soon_by_an_answer(
    #[case] answer: AttemptOutcome,
    #[case] answered: f64,
    #[case] closes: bool,
) {
    let mut host = plain();
    host.take(1.0, "a", RETRIABLE, 1, None);
    host.ends(20.0, "a", AttemptOutcome::ConnectFailed);
    assert!(host.idle(1000.0).contains(&"send a to t".into()));
    host.ends(answered, "a", answer);
    host.take(9_000.0, "b", RETRIABLE, 2, None);
    host.ends(9_100.0, "b", AttemptOutcome::Delivered);
    assert_eq!(
        host.idle(9_401.0).contains(&"close u".into()),
        closes,
        "the others of its kind as well"
    );
}

/// Met there too: the first minute's evidence came too late for a fleet of two hundred.
#[rstest]
#[case(2.0, false)]
#[case(200.0, true)]
fn a_fleet_that_outnumbers_what_the_told_rate_serves_at_once_keeps_no_idle_connections(
    #[case] forwarders: f64,
    #[case] closes: bool,
) {
    let mut host = Host::new(|terms| terms.forwarder_count = forwarders);
    host.at(0.0, |f| f.set_advertised_rate(DestinationId(1), 200.0));
    host.runs_well(1500.0);
    assert_eq!(host.idle(1900.0).contains(&"close t".into()), closes);
}
