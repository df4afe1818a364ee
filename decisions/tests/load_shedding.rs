//! Limits on calls in flight and on stored events: the destination of the next call, and the events
//! that are shed.

mod host;

use host::{attempts_in, config, default_host, event, target, Host, IDEMPOTENT, NON_IDEMPOTENT};
use plankhill_decisions::interface::{AttemptOutcome, DestinationId};
use plankhill_decisions::scheduler::Scheduler;
use rstest::rstest;

#[rstest]
fn several_events_in_one_call_count_as_one_call_in_flight() {
    let mut host = Host::new(|config| config.max_calls_in_flight = 2);
    let effects = host.run(1.0, |scheduler| {
        for name in ["a", "b", "c", "d", "e", "f", "g", "h", "i"] {
            scheduler.accept_event(event(name), DestinationId(3), IDEMPOTENT, 20_000.0, None);
        }
    });
    assert_eq!(attempts_in(&effects), 8, "two calls of four: {effects:?}");
}

#[rstest]
fn the_next_call_goes_to_the_destination_with_fewest_calls_in_flight() {
    let mut host = Host::new(|config| config.max_calls_in_flight = 3);
    let effects = host.run(1.0, |scheduler| {
        for (name, of) in [("a", 1), ("b", 1), ("c", 1), ("d", 2)] {
            scheduler.accept_event(event(name), DestinationId(of), IDEMPOTENT, 20_000.0, None);
        }
    });
    assert_eq!(effects, ["send a to t", "send d to u", "send b to t"]);
}

/// Regression: a tenth of the destinations were in doubt and occupied half of the calls in flight
/// most of the time.
#[rstest]
fn a_destination_in_doubt_leaves_half_of_the_calls_in_flight_to_others() {
    let mut host = Host::new(|config| config.max_calls_in_flight = 4);
    host.accept(1.0, "failed", NON_IDEMPOTENT, 1, None);
    host.end_attempt(1500.0, "failed", AttemptOutcome::TimedOut);
    let effects = host.run(1501.0, |scheduler| {
        for (name, of) in [("a", 1), ("b", 1), ("c", 1), ("d", 1), ("e", 2), ("f", 2)] {
            scheduler.accept_event(
                event(name),
                DestinationId(of),
                NON_IDEMPOTENT,
                21_501.0,
                None,
            );
        }
    });
    assert_eq!(
        effects,
        ["send e to u", "send f to u", "send a to t", "send b to t"]
    );
    assert!(
        host.end_attempt(1600.0, "e", AttemptOutcome::Delivered)
            .is_empty(),
        "the free call in flight is reserved for other destinations"
    );
    assert_eq!(
        host.end_attempt(1700.0, "a", AttemptOutcome::Delivered)
            .len(),
        2,
        "the destination answered and is no longer in doubt"
    );
}

/// Regression: events of an offline destination filled the event store, and the events of all other
/// destinations were rejected.
#[rstest]
fn a_blocked_destination_does_not_fill_the_event_store() {
    let mut host = default_host();
    host.accept(1.0, "first", IDEMPOTENT, 1, None);
    host.end_attempt_with_retry_after(2.0, "first", AttemptOutcome::Rejected, 1900.0);
    let mut stored: i32 = 1;
    for at in 0..60 {
        let effects = host.accept(10.0 + at as f64, &format!("e{at}"), IDEMPOTENT, 1, None);
        stored += 1 - effects
            .iter()
            .filter(|effect| effect.starts_with("reject"))
            .count() as i32;
        assert!(stored < 40, "the event store is full");
    }
    assert_eq!(
        host.accept(100.0, "other", IDEMPOTENT, 2, None)
            .iter()
            .filter(|w| *w == "send other to u")
            .count(),
        1
    );
}

/// Regression: one member sent five times its usual traffic, and the events of all members were
/// rejected equally.
#[rstest]
#[case::within_quota(50.0, 0)]
#[case::over_quota(1.0, 5)]
fn events_over_a_member_quota_are_shed_once_the_event_store_is_a_third_full(
    #[case] share: f64,
    #[case] min_rejected: usize,
) {
    let mut host = Host::new(|config| {
        (config.member_quotas, config.over_quota_value_weight) = (vec![share, 50.0], 0.05);
        config.event_capacity = 60;
    });
    host.take_offline(1.0);
    let mut rejected = Vec::new();
    for n in 0..30 {
        let (name, now) = (format!("e{n}"), 10.0 + n as f64);
        rejected.extend(host.run(now, |scheduler| {
            scheduler.accept_event(
                event(&name),
                DestinationId(1),
                IDEMPOTENT,
                now + 20_000.0,
                None,
            );
            scheduler.charge_member(&event(&name), n % 2, false);
            scheduler.charge_member(&event(&name), 7, false); // unknown member: no effect
        }));
    }
    let is_of_other_member = |effect: &String| {
        effect
            .trim_start_matches("reject e")
            .parse::<usize>()
            .is_ok_and(|n| n % 2 == 1)
    };
    assert!(
        rejected.len() >= min_rejected && (min_rejected > 0 || rejected.is_empty()),
        "{rejected:?}"
    );
    assert!(
        !rejected.iter().any(is_of_other_member),
        "events of the other member are not shed: {rejected:?}"
    );
}

/// Regression: with one queued event for each of many destinations, the event of the highest
/// destination number was shed, although it could have been sent at once.
#[rstest]
fn events_that_can_be_sent_now_are_not_shed_for_blocked_ones() {
    let mut host = Host::new(|config| config.event_capacity = 5);
    host.take_offline(1.0);
    for n in 0..2 {
        host.accept(10.0, &format!("queued{n}"), IDEMPOTENT, 1, None);
    }
    let effects = host.accept(20.0, "fresh", IDEMPOTENT, 2, None);
    assert!(effects.contains(&"send fresh to u".into()), "{effects:?}");
    assert!(
        effects.iter().any(|effect| effect.starts_with("reject"))
            && !effects.contains(&"reject fresh".into()),
        "{effects:?}"
    );
}

/// Regression: a shed event counted as stored until its completion was acknowledged, so that one
/// event too many caused all 37 queued events to be shed in one iteration.
#[rstest]
fn one_event_too_many_sheds_one_while_completions_are_unacknowledged() {
    let mut host = default_host();
    host.by_notification = true;
    host.accept(1.0, "first", IDEMPOTENT, 1, None);
    host.end_attempt_with_retry_after(2.0, "first", AttemptOutcome::Rejected, 19_000.0);
    for n in 1..36 {
        assert!(
            host.accept(10.0, &format!("e{n}"), IDEMPOTENT, 1, None)
                .is_empty(),
            "36 of 40 events may be stored"
        );
    }
    for n in 36..40 {
        let effects = host.accept(10.0, &format!("e{n}"), IDEMPOTENT, 1, None);
        assert_eq!(
            effects
                .iter()
                .filter(|effect| effect.starts_with("reject"))
                .count(),
            1,
            "{effects:?}"
        );
    }
    let effects = host.run(11.0, |scheduler| {
        scheduler.on_completion_acknowledged(&event("e39"))
    });
    assert!(
        effects.is_empty(),
        "an event that used no capacity frees none: {effects:?}"
    );
}

/// An earlier version did not count unacknowledged completions: the state that it writes contains
/// these completions, but not their number.
#[rstest]
fn completions_unacknowledged_before_a_hot_restart_take_no_capacity_after_it() {
    let mut host = default_host();
    host.by_notification = true;
    for n in 0..40 {
        host.accept(1.0, &format!("e{n}"), NON_IDEMPOTENT, 1, None);
    }
    let state = rmp_serde::to_vec(&host.scheduler).expect("encodes");
    host.scheduler = rmp_serde::from_slice::<Scheduler>(&state)
        .expect("decodes")
        .resume(config());
    let effects = host.accept(2.0, "new", NON_IDEMPOTENT, 2, None);
    assert_eq!(
        effects,
        ["reject e35"],
        "36 may be stored, not counting the four that await an acknowledgement"
    );
    assert!(host
        .run(3.0, |scheduler| scheduler
            .on_completion_acknowledged(&event("e39")))
        .is_empty());
}

/// Regression: events that were restored without an attempt after a restart, for a destination that
/// was warming up, were shed in the first iterations. New events, whose clients can use another
/// forwarder, are shed before them.
#[rstest]
fn events_restored_without_an_attempt_are_not_shed_for_new_events() {
    let mut host = default_host();
    let mut effects = host.run(1.0, |scheduler| {
        scheduler.restore_warm_up(&target("t"), 0.0, 0.1);
        for n in 0..38 {
            scheduler.accept_event(
                event(&format!("restored{n}")),
                DestinationId(1),
                IDEMPOTENT,
                20_000.0,
                None,
            );
            scheduler.restore_attempts(&event(&format!("restored{n}")), 0, None, false);
        }
    });
    for n in 0..20 {
        effects.extend(host.accept(
            10.0 + n as f64,
            &format!("new{n}"),
            IDEMPOTENT,
            1 + n % 2,
            None,
        ));
    }
    let rejected_count = |of: &str| {
        effects
            .iter()
            .filter(|effect| effect.starts_with(&format!("reject {of}")))
            .count()
    };
    assert_eq!(rejected_count("restored"), 0);
    assert!(
        rejected_count("new") >= 17,
        "the capacity is 40 events, of which 36 may be stored"
    );
}

/// A restored event that was attempted before is shed like any other.
#[rstest]
fn events_restored_with_an_attempt_are_shed_like_others() {
    let mut host = default_host();
    let effects = host.run(1.0, |scheduler| {
        scheduler.restore_warm_up(&target("t"), 0.0, 0.1);
        for n in 0..40 {
            scheduler.accept_event(
                event(&format!("e{n}")),
                DestinationId(1),
                IDEMPOTENT,
                20_000.0,
                None,
            );
            scheduler.restore_attempts(&event(&format!("e{n}")), 1, None, false);
        }
    });
    assert_eq!(
        effects
            .iter()
            .filter(|effect| effect.starts_with("reject e"))
            .count(),
        4
    );
}
