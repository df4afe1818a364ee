//! What outlasts a process, and its last moments.

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
    #[case] then: &[&str],
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
    assert_eq!(effects, then);
}

#[rstest]
fn a_key_cools_down_after_a_restart_behind_an_attempt_that_was_in_flight() {
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

/// A destination comes back while a forwarder restarts with a backlog for it. Where half of a fleet
/// restarts, the first calls come together too: they are spread over the interval of health checks.
#[rstest]
#[case(true, 0..2, 1)]
#[case(false, 8..9, 8)]
fn a_backlog_does_not_overload_a_destination_that_an_earlier_process_saw_fail(
    #[case] is_recorded: bool,
    #[case] at_once: std::ops::Range<usize>,
    #[case] in_a_pause: usize,
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
    assert!(at_once.contains(&attempts_in(&effects)));
    let later: usize = (1..14)
        .map(|step| attempts_in(&host.idle(1000.0 + 100.0 * step as f64)))
        .sum();
    assert_eq!(attempts_in(&effects) + later, in_a_pause);
}

/// Regression (`fleet_warm_up.rs`): fifteen of thirty forwarders sent a call each in the moment of
/// their restart.
#[rstest]
fn a_fleet_that_restarts_together_spreads_its_first_calls_to_a_destination_warming_up() {
    let at_once = (0..20_u64).filter(|&seed| {
        let mut host = Host::new(|config| (config.seed, config.forwarder_count) = (seed, 30.0));
        let effects = host.run(1000.0, |scheduler| {
            scheduler.restore_warm_up(&target("t"), 0.0, 0.3);
            scheduler.accept_event(event("a"), DestinationId(1), IDEMPOTENT, 9000.0, None);
        });
        attempts_in(&effects) > 0
    });
    assert!(at_once.count() <= 5, "most send in the moment they restart");
}

/// Regression: a destination that was down over a restart got half a call a second from a forwarder
/// that knew of the warm-up, and not its share of the usual traffic.
#[rstest]
fn the_warm_up_budget_outlasts_a_restart() {
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
        "{sent} calls in two seconds of some four a second"
    );
}

#[rstest]
fn no_call_is_sent_in_the_last_moments_of_a_process() {
    let mut host = default_host();
    host.run(0.0, |scheduler| scheduler.begin_shutdown(3400.0));
    assert_eq!(
        host.accept(1000.0, "a", NON_IDEMPOTENT, 1, None),
        ["send a to t"]
    );
    assert!(
        host.accept(2000.0, "b", NON_IDEMPOTENT, 1, None).is_empty(),
        "it might be out at the end"
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
