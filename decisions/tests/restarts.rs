//! Stories of what outlasts a process, and of its last moments.

mod host;

use host::*;
use plankhill_decisions::interface::*;
use rstest::rstest;

#[rstest]
#[case(BINDING, &["write off a", "send b to t"])]
#[case(FINGERPRINTED, &["send a to t", "send b to t"])]
#[case(RETRIABLE, &["send a to t", "send b to t"])]
fn a_send_out_when_the_process_ended_may_have_run(
    #[case] traffic: TrafficTypeId,
    #[case] then: &[&str],
) {
    let mut host = Host::new(|terms| terms.key_cooldown = 0.0);
    let told = host.at(1.0, |f| {
        f.accept_event(
            event("a"),
            DestinationId(1),
            traffic,
            9000.0,
            Some(OrderKey(5)),
        );
        f.restore_attempts(&event("a"), 1, Some((0.5, ZoneId(0))), true);
        f.accept_event(
            event("b"),
            DestinationId(1),
            BINDING,
            9000.0,
            Some(OrderKey(5)),
        );
        f.restore_attempts(&event("b"), 0, None, false);
    });
    assert_eq!(told, then);
}

#[rstest]
fn a_key_rests_after_a_restart_behind_a_send_that_was_out() {
    let mut host = plain();
    let told = host.at(1.0, |f| {
        f.accept_event(
            event("a"),
            DestinationId(1),
            BINDING,
            9000.0,
            Some(OrderKey(5)),
        );
        f.restore_attempts(&event("a"), 1, Some((0.5, ZoneId(0))), true);
        f.accept_event(
            event("b"),
            DestinationId(1),
            BINDING,
            9000.0,
            Some(OrderKey(5)),
        );
    });
    assert_eq!(told, ["write off a"]);
    assert!(host.idle(300.0).is_empty());
    assert_eq!(host.idle(301.0), ["send b to t"]);
}

/// Guards a destination that comes back while a forwarder restarts with a backlog for it. Where half of a fleet
/// restarts, the first calls come together too: they are spread over a ping's pause.
#[rstest]
#[case(true, 0..2, 1)]
#[case(false, 8..9, 8)]
fn a_backlog_does_not_push_over_what_an_earlier_process_saw_fail(
    #[case] noted: bool,
    #[case] at_once: std::ops::Range<usize>,
    #[case] in_a_pause: usize,
) {
    let mut earlier = plain();
    earlier.goes_offline(1.0);
    let noted: Vec<_> = earlier.cold.into_iter().filter(|_| noted).collect();
    let mut host = plain();
    let told = host.at(1000.0, |f| {
        noted
            .iter()
            .for_each(|(target, since, usual)| f.restore_warm_up(target, *since, *usual));
        for number in 0..10 {
            f.accept_event(
                event(&format!("e{number}")),
                DestinationId(1),
                RETRIABLE,
                9000.0,
                None,
            );
        }
    });
    assert!(at_once.contains(&sends(&told)));
    let later: usize = (1..14)
        .map(|step| sends(&host.idle(1000.0 + 100.0 * step as f64)))
        .sum();
    assert_eq!(sends(&told) + later, in_a_pause);
}

/// Met by the fleet of `ramp.rs`: fifteen of thirty sent a call each in the moment of their restart.
#[rstest]
fn a_fleet_that_restarts_together_spreads_its_first_calls_to_what_is_cold() {
    let at_once = (0..20_u64).filter(|&seed| {
        let mut host = Host::new(|terms| (terms.seed, terms.forwarder_count) = (seed, 30.0));
        let told = host.at(1000.0, |f| {
            f.restore_warm_up(&target("t"), 0.0, 0.3);
            f.accept_event(event("a"), DestinationId(1), RETRIABLE, 9000.0, None);
        });
        sends(&told) > 0
    });
    assert!(at_once.count() <= 5, "most send in the moment they restart");
}

/// Met on days with new configurations: a destination that was down over a restart got half a call a second
/// from a forwarder that knew it was cold, and not what usually goes there.
#[rstest]
fn the_cold_budget_outlasts_a_restart() {
    let mut earlier = plain();
    earlier.runs_well(20_000.0);
    earlier.goes_offline(20_001.0);
    let mut host = plain();
    let noted = std::mem::take(&mut earlier.cold);
    host.at(1.0, |f| {
        noted
            .iter()
            .for_each(|(target, _, usual)| f.restore_warm_up(target, 0.0, *usual))
    });
    (0..20).for_each(|number| drop(host.take(2.0, &format!("e{number}"), RETRIABLE, 1, None)));
    let sent: usize = (1..20)
        .map(|step| sends(&host.idle(2.0 + 100.0 * step as f64)))
        .sum();
    assert!(
        (4..=10).contains(&sent),
        "{sent} calls in two seconds of some four a second"
    );
}

#[rstest]
fn nothing_is_sent_in_the_last_moments_of_a_process() {
    let mut host = plain();
    host.at(0.0, |f| f.begin_shutdown(3400.0));
    assert_eq!(host.take(1000.0, "a", BINDING, 1, None), ["send a to t"]);
    assert!(
        host.take(2000.0, "b", BINDING, 1, None).is_empty(),
        "it might be out at the end"
    );
}

#[rstest]
fn an_end_that_an_earlier_process_told_still_holds_back_its_key() {
    let mut host = plain();
    let told = host.at(1.0, |f| {
        f.accept_event(
            event("a"),
            DestinationId(1),
            BINDING,
            9000.0,
            Some(OrderKey(5)),
        );
        f.restore_completed(&event("a"));
        f.accept_event(
            event("b"),
            DestinationId(1),
            BINDING,
            9000.0,
            Some(OrderKey(5)),
        );
    });
    assert!(told.is_empty(), "{told:?}");
    assert_eq!(
        host.at(2.0, |f| f.on_completion_acknowledged(&event("a"))),
        ["send b to t"]
    );
}
