//! Stories of destinations that are parked, and of the pings that release them.

mod host;

use host::*;
use plankhill_decisions::interface::*;
use rstest::rstest;

#[rstest]
fn two_failures_in_a_row_park_a_destination_until_a_ping_is_answered() {
    let mut host = plain();
    host.goes_offline(1.0);
    assert!(host.take(900.0, "a", RETRIABLE, 1, None).is_empty());
    host.ping_ends(1000.0, "t", AttemptOutcome::ConnectFailed);
    assert_eq!(host.idle(2300.0), ["ping t"]);
    let told = host.ping_ends(2400.0, "t", AttemptOutcome::Rejected);
    assert_eq!(
        sends(&told) + sends(&host.idle(4300.0)),
        1,
        "any answer releases"
    );
}

#[rstest]
fn where_pings_are_barred_the_oldest_head_is_the_trial() {
    let mut host = Host::new(|terms| terms.health_checks_allowed = false);
    host.take(1.0, "a", RETRIABLE, 1, None);
    host.take(1.0, "b", RETRIABLE, 1, None);
    host.ends(2.0, "a", AttemptOutcome::ConnectFailed);
    host.ends(2.0, "b", AttemptOutcome::ConnectFailed);
    assert_eq!(host.idle(1500.0), ["send a to t"]);
}

/// Met on ndar-campus-later big-1: a clump after the start passed for usual traffic, and pings came each second.
#[rstest]
fn many_forwarders_space_their_pings_and_send_none_for_nothing() {
    let mut host = Host::new(|terms| terms.forwarder_count = 200.0);
    host.goes_offline(1.0);
    let mut pings = 0;
    for step in 0..60 {
        let now = 400.0 + 200.0 * step as f64;
        if host.idle(now).contains(&"ping t".into()) || step == 0 {
            pings += 1;
            host.ping_ends(now, "t", AttemptOutcome::ConnectFailed);
        }
    }
    assert!(pings <= 4, "{pings} in twelve seconds");
    let mut still = Host::new(|_| ());
    still.take(1.0, "a", BINDING, 1, None);
    still.take(1.0, "b", BINDING, 1, None);
    still.ends(1600.0, "a", AttemptOutcome::TimedOut);
    assert_eq!(
        still.ends(1600.0, "b", AttemptOutcome::TimedOut),
        ["write off b"],
        "nothing waits, nothing is asked"
    );
}

/// Met on zone+vast of the fleet days: of a hundred forwarders, one pinged a destination that was down, then
/// not again for 10 s; the destination was back after 4, and what waited there ran out of patience. Every 3.3 s
/// was too often: with the calls that follow, the pings of 52 pushed a small destination over as it came back.
#[rstest]
fn of_a_hundred_forwarders_each_learns_of_a_return_within_seconds() {
    for seed in [1, 2, 3] {
        let mut host = Host::new(|terms| (terms.seed, terms.forwarder_count) = (seed, 100.0));
        host.goes_offline(1.0);
        host.ping_ends(100.0, "t", AttemptOutcome::ConnectFailed);
        let (mut last, mut longest) = (100.0, 0.0_f64);
        for step in 1..100 {
            let now = 100.0 + 100.0 * step as f64;
            if host.idle(now).contains(&"ping t".into()) {
                longest = longest.max(now - last);
                last = now;
                host.ping_ends(now, "t", AttemptOutcome::ConnectFailed);
            }
        }
        assert!(
            longest <= 8_500.0,
            "seed {seed}: {longest} ms without a ping"
        );
        assert!(
            10_000.0 - last <= 8_500.0,
            "seed {seed}: no ping since {last}"
        );
    }
}

/// Met on the wide day with resets: a tenth of the calls broke off at destinations that answered all the time.
#[rstest]
#[case(100.0, false)]
#[case(2_000.0, true)]
fn connections_that_break_off_beside_answers_take_no_destination_offline(
    #[case] after: Ms,
    #[case] asked: bool,
) {
    let mut host = plain();
    host.runs_well(5_000.0);
    let at = 5_000.0 + after;
    host.take(at, "a", RETRIABLE, 1, None);
    host.take(at, "b", RETRIABLE, 1, None);
    host.ends(at + 1.0, "a", AttemptOutcome::Reset);
    assert_eq!(
        host.ends(at + 1.0, "b", AttemptOutcome::Reset)
            .contains(&"ping t".into()),
        asked
    );
}

/// Met on days with new configurations: what a backlog sent with its last patience was cut after some
/// milliseconds, and two such calls took a destination offline that was just back.
#[rstest]
fn calls_cut_by_the_end_of_patience_take_no_destination_offline() {
    let mut host = plain();
    for (name, at) in [("a", 1.0), ("b", 200.0)] {
        host.at(at, |f| {
            f.accept_event(event(name), DestinationId(1), RETRIABLE, at + 100.0, None)
        });
        host.at(at + 70.0, |f| {
            f.on_attempt_ended(
                &event(name),
                AttemptReport {
                    elapsed: 70.0,
                    ..AttemptReport::from_outcome(AttemptOutcome::TimedOut)
                },
            )
            .expect("sent")
        });
    }
    host.take(400.0, "c", RETRIABLE, 1, None);
    assert!(host
        .idle(401.0)
        .iter()
        .all(|word| !word.starts_with("ping")));
    assert!(
        host.ends(500.0, "c", AttemptOutcome::Delivered).is_empty(),
        "it had been sent at once"
    );
}

/// Met on sockets: the retry met the dead endpoint of two again, and its destination was parked and cold.
#[rstest]
fn one_dead_endpoint_of_two_does_not_park_its_destination() {
    for seed in 0..40 {
        let mut host = Host::new(|terms| terms.seed = seed);
        host.at(0.0, |f| {
            f.on_endpoint_listed(
                target("dead"),
                DestinationId(1),
                DestinationKindId(0),
                ZoneId(0),
                EndpointState::Running,
            );
        });
        let mut told = host.take(1.0, "a", RETRIABLE, 1, None);
        if told == ["send a to dead"] {
            host.ends(2.0, "a", AttemptOutcome::ConnectFailed);
            let mut at = 2.0;
            told = Vec::new();
            while sends(&told) == 0 {
                at += 10.0;
                told = host.idle(at);
            }
        }
        assert_eq!(told, ["send a to t"], "seed {seed}");
    }
}
