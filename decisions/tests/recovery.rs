//! State that is restored after a restart, and the shutdown of a process.

mod host;

use host::{
    attempts_in, default_host, event, target, Host, DEDUPLICATED, IDEMPOTENT, NON_IDEMPOTENT,
};
use plankhill_decisions::interface::{DestinationId, OrderKey, TrafficTypeId, ZoneId};
use rstest::rstest;

#[rstest]
#[case(NON_IDEMPOTENT, &["abandon a", "send b to t"])]
#[case(DEDUPLICATED, &["send a to t", "send b to t"])]
#[case(IDEMPOTENT, &["send a to t", "send b to t"])]
fn an_attempt_in_flight_when_the_process_ended_may_have_run(
    #[case] traffic: TrafficTypeId,
    #[case] expected: &[&str],
) {
    let mut host = Host::new(|config| config.key_cooldown = 0.0);
    let effects = host.run(1.0, |scheduler| {
        scheduler.accept_event(
            event("a"),
            DestinationId(1),
            traffic,
            9000.0,
            Some(OrderKey(5)),
        );
        scheduler.restore_attempts(&event("a"), 1, Some((0.5, ZoneId(0))), true);
        scheduler.accept_event(
            event("b"),
            DestinationId(1),
            NON_IDEMPOTENT,
            9000.0,
            Some(OrderKey(5)),
        );
        scheduler.restore_attempts(&event("b"), 0, None, false);
    });
    assert_eq!(effects, expected);
}

#[rstest]
fn a_key_cools_down_after_a_restart_if_an_attempt_was_in_flight() {
    let mut host = default_host();
    let effects = host.run(1.0, |scheduler| {
        scheduler.accept_event(
            event("a"),
            DestinationId(1),
            NON_IDEMPOTENT,
            9000.0,
            Some(OrderKey(5)),
        );
        scheduler.restore_attempts(&event("a"), 1, Some((0.5, ZoneId(0))), true);
        scheduler.accept_event(
            event("b"),
            DestinationId(1),
            NON_IDEMPOTENT,
            9000.0,
            Some(OrderKey(5)),
        );
    });
    assert_eq!(effects, ["abandon a"]);
    assert!(host.idle(300.0).is_empty());
    assert_eq!(host.idle(301.0), ["send b to t"]);
}

/// A destination recovers while a forwarder with a backlog for it restarts. Where half of a fleet
/// restarts, the first calls come together too, so they are spread over the health check interval.
#[rstest]
#[case(true, 0..2, 1)]
#[case(false, 8..9, 8)]
fn a_backlog_does_not_overload_a_destination_that_failed_in_an_earlier_process(
    #[case] is_recorded: bool,
    #[case] sent_at_once: std::ops::Range<usize>,
    #[case] sent_in_total: usize,
) {
    let mut earlier = default_host();
    earlier.take_offline(1.0);
    let recorded = if is_recorded {
        earlier.recorded_warm_ups
    } else {
        Vec::new()
    };
    let mut host = default_host();
    let effects = host.run(1000.0, |scheduler| {
        for (target, since, usual_rate) in &recorded {
            scheduler.restore_warm_up(target, *since, *usual_rate);
        }
        for number in 0..10 {
            scheduler.accept_event(
                event(&format!("e{number}")),
                DestinationId(1),
                IDEMPOTENT,
                9000.0,
                None,
            );
        }
    });
    assert!(sent_at_once.contains(&attempts_in(&effects)));
    let later: usize = (1..14)
        .map(|step| attempts_in(&host.idle(1000.0 + 100.0 * step as f64)))
        .sum();
    assert_eq!(attempts_in(&effects) + later, sent_in_total);
}

/// Regression (`fleet_warm_up.rs`): fifteen of thirty forwarders each sent a call at the time of
/// their restart.
#[rstest]
fn a_fleet_that_restarts_together_spreads_its_first_calls_to_a_destination_warming_up() {
    let sent_at_once = (0..20_u64).filter(|&seed| {
        let mut host = Host::new(|config| (config.seed, config.forwarder_count) = (seed, 30.0));
        let effects = host.run(1000.0, |scheduler| {
            scheduler.restore_warm_up(&target("t"), 0.0, 0.3);
            scheduler.accept_event(event("a"), DestinationId(1), IDEMPOTENT, 9000.0, None);
        });
        attempts_in(&effects) > 0
    });
    assert!(
        sent_at_once.count() <= 5,
        "most forwarders send at the time of their restart"
    );
}

/// Regression: a destination that was down during a restart received half a call a second from a
/// forwarder that had restored the warm-up, instead of its share of the usual traffic.
#[rstest]
fn the_warm_up_budget_survives_a_restart() {
    let mut earlier = default_host();
    earlier.run_healthily(20_000.0);
    earlier.take_offline(20_001.0);
    let mut host = default_host();
    host.run(1.0, |scheduler| {
        for (target, _, usual_rate) in &earlier.recorded_warm_ups {
            scheduler.restore_warm_up(target, 0.0, *usual_rate);
        }
    });
    for number in 0..20 {
        host.accept(2.0, &format!("e{number}"), IDEMPOTENT, 1, None);
    }
    let sent: usize = (1..20)
        .map(|step| attempts_in(&host.idle(2.0 + 100.0 * step as f64)))
        .sum();
    assert!(
        (4..=10).contains(&sent),
        "{sent} calls in two seconds, at about four a second"
    );
}

#[rstest]
fn no_call_is_sent_shortly_before_the_end_of_a_process() {
    let mut host = default_host();
    host.run(0.0, |scheduler| scheduler.begin_shutdown(3400.0));
    assert_eq!(
        host.accept(1000.0, "a", NON_IDEMPOTENT, 1, None),
        ["send a to t"]
    );
    assert!(
        host.accept(2000.0, "b", NON_IDEMPOTENT, 1, None).is_empty(),
        "the call might be in flight at the end"
    );
}

#[rstest]
fn a_completion_of_an_earlier_process_still_blocks_its_key() {
    let mut host = default_host();
    let effects = host.run(1.0, |scheduler| {
        scheduler.accept_event(
            event("a"),
            DestinationId(1),
            NON_IDEMPOTENT,
            9000.0,
            Some(OrderKey(5)),
        );
        scheduler.restore_completed(&event("a"));
        scheduler.accept_event(
            event("b"),
            DestinationId(1),
            NON_IDEMPOTENT,
            9000.0,
            Some(OrderKey(5)),
        );
    });
    assert!(effects.is_empty(), "{effects:?}");
    assert_eq!(
        host.run(2.0, |scheduler| scheduler
            .on_completion_acknowledged(&event("a"))),
        ["send b to t"]
    );
}
