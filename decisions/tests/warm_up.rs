//! Recovering destinations, and the budget of calls to them while they warm up.

mod host;

use host::{attempts_in, default_host, event, Host, IDEMPOTENT, NON_IDEMPOTENT};
use plankhill_decisions::interface::{AttemptOutcome, AttemptReport, DestinationId, Ms};
use rstest::rstest;

/// Regression: with health checks every 2 s, 44 forwarders detected a recovery within that time and
/// each sent a call when its health check was answered, which overloaded the destination.
#[rstest]
fn a_fleet_that_detects_a_recovery_at_the_same_time_spreads_its_first_calls() {
    let at_once = (0..20_u64).filter(|&seed| {
        let mut host = Host::new(|config| (config.seed, config.forwarder_count) = (seed, 44.0));
        host.run_healthily(20_000.0);
        host.take_offline(20_000.0);
        host.accept(20_100.0, "held", IDEMPOTENT, 1, None);
        attempts_in(&host.end_health_check(20_200.0, "t", AttemptOutcome::Delivered)) > 0
    });
    assert!(
        at_once.count() <= 5,
        "most forwarders send as soon as their health check is answered"
    );
}

/// Regression: an offline destination was sent its entire backlog when its first health check was
/// answered.
#[rstest]
fn an_offline_lane_warms_up_when_it_comes_back() {
    let mut host = default_host();
    host.run_healthily(20_000.0);
    host.take_offline(20_000.0);
    for at in 0..6 {
        host.accept(
            20_100.0 + at as f64,
            &format!("held{at}"),
            IDEMPOTENT,
            1,
            None,
        );
    }
    assert!(attempts_in(&host.end_health_check(20_200.0, "t", AttemptOutcome::Delivered)) <= 1);
}

/// Regression (second case): events submitted again after rejections were counted as usual traffic.
#[rstest]
#[case(20)]
#[case(300)]
fn a_destination_warming_up_is_sent_its_budget_not_its_backlog(#[case] backlog: u32) {
    let mut host =
        Host::new(|config| (config.max_calls_in_flight, config.event_capacity) = (400, 400));
    host.run_healthily(20_000.0);
    host.take_offline(20_000.0);
    host.end_health_check(20_050.0, "t", AttemptOutcome::TimedOut);
    for at in 0..backlog {
        host.accept(
            20_100.0 + at as f64,
            &format!("held{at}"),
            IDEMPOTENT,
            1,
            None,
        );
    }
    host.idle(23_000.0);
    host.end_health_check(25_900.0, "t", AttemptOutcome::TimedOut);
    let mut sent = attempts_in(&host.end_health_check(26_000.0, "t", AttemptOutcome::Delivered));
    for step in 1..=20 {
        sent += attempts_in(&host.idle(26_000.0 + 100.0 * step as f64));
    }
    // About half a minute at 10 calls a second. The capacity starts at a fifth, overload begins at
    // twice the capacity, and the capacity has grown by half by then.
    assert!((1..=15).contains(&sent), "{sent} in two seconds");
}

#[rstest]
fn a_destination_warming_up_that_responds_in_the_usual_time_is_sent_more() {
    let sent = |elapsed: Ms| {
        let mut host =
            Host::new(|config| (config.max_calls_in_flight, config.event_capacity) = (400, 400));
        host.run_healthily(20_000.0);
        host.take_offline(20_000.0);
        host.end_health_check(20_050.0, "t", AttemptOutcome::TimedOut);
        host.idle(23_000.0);
        host.end_health_check(23_100.0, "t", AttemptOutcome::Delivered);
        let (mut sent, mut out) = (0, Vec::new());
        for step in 0..80 {
            let now = 23_200.0 + 50.0 * step as f64;
            let effects = host.accept(now, &format!("e{step}"), IDEMPOTENT, 1, None);
            out.extend(
                effects
                    .iter()
                    .filter_map(|w| Some(w.strip_prefix("send ")?.split(' ').next()?.to_owned())),
            );
            sent += attempts_in(&effects);
            for name in std::mem::take(&mut out) {
                let effects = host.run(now, |scheduler| {
                    scheduler
                        .on_attempt_ended(
                            &event(&name),
                            AttemptReport {
                                elapsed,
                                ..AttemptReport::from_outcome(AttemptOutcome::Delivered)
                            },
                        )
                        .unwrap()
                });
                out.extend(
                    effects.iter().filter_map(|w| {
                        Some(w.strip_prefix("send ")?.split(' ').next()?.to_owned())
                    }),
                );
                sent += attempts_in(&effects);
            }
        }
        sent
    };
    assert!(sent(100.0) > sent(900.0));
}

/// Regression: a closed destination reported its opening time to all forwarders, and was sent a
/// burst at that time.
#[rstest]
fn a_destination_warms_up_after_a_long_retry_after() {
    let mut host =
        Host::new(|config| (config.max_calls_in_flight, config.event_capacity) = (400, 400));
    host.run_healthily(20_000.0);
    host.accept(20_000.0, "a", IDEMPOTENT, 1, None);
    host.end_attempt_with_retry_after(20_001.0, "a", AttemptOutcome::Rejected, 6000.0);
    for at in 0..20 {
        host.accept(
            21_000.0 + at as f64,
            &format!("held{at}"),
            IDEMPOTENT,
            1,
            None,
        );
    }
    let sent: usize = (0..20)
        .map(|step| attempts_in(&host.idle(26_002.0 + 50.0 * step as f64)))
        .sum();
    assert!((1..=6).contains(&sent), "{sent} in a second");
}

/// Regression: a destination that closed for 15 s in the second second of a run received one call
/// in two seconds afterwards, because hardly any calls were sent to it while it was closed.
#[rstest]
fn the_warm_up_budget_follows_the_rate_before_a_long_retry_after() {
    let mut host =
        Host::new(|config| (config.max_calls_in_flight, config.event_capacity) = (400, 400));
    host.run_healthily(1_500.0);
    host.accept(1_510.0, "a", IDEMPOTENT, 1, None);
    host.end_attempt_with_retry_after(1_511.0, "a", AttemptOutcome::Rejected, 15_000.0);
    for at in 0..40 {
        host.accept(
            14_000.0 + at as f64,
            &format!("held{at}"),
            IDEMPOTENT,
            1,
            None,
        );
    }
    let sent: usize = (0..80)
        .map(|step| attempts_in(&host.idle(16_520.0 + 50.0 * step as f64)))
        .sum();
    assert!((5..=14).contains(&sent), "{sent} in four seconds");
}

/// Where a fifth of the calls is lost, a warm-up budget would starve a working destination.
#[rstest]
fn a_destination_that_loses_a_few_calls_does_not_warm_up() {
    let mut host = default_host();
    host.run_healthily(20_000.0);
    for step in 0..10 {
        let (now, name) = (20_100.0 + 600.0 * step as f64, format!("lost{step}"));
        host.accept(now, &name, NON_IDEMPOTENT, 1, Some(100 + step));
        host.end_attempt(now, &name, AttemptOutcome::TimedOut);
        host.run_healthily(now + 500.0);
    }
}

/// Regression: because of a call that timed out during a retry-after of twenty seconds, the warm-up
/// ended before the retry-after.
#[rstest]
fn a_late_timeout_does_not_shorten_the_warm_up_of_a_closed_destination() {
    let mut host =
        Host::new(|config| (config.max_calls_in_flight, config.event_capacity) = (400, 400));
    host.run_healthily(20_000.0);
    for name in [
        "a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m", "n", "o", "p", "q", "r",
        "s",
    ] {
        host.accept(30_001.0, name, IDEMPOTENT, 1, None);
    }
    host.end_attempt_with_retry_after(30_002.0, "a", AttemptOutcome::Rejected, 15_000.0);
    for name in [
        "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m", "n", "o", "p", "q", "r", "s",
    ] {
        host.end_attempt(31_600.0, name, AttemptOutcome::TimedOut);
    }
    host.idle(45_003.0);
    let mut sent = attempts_in(&host.end_health_check(45_010.0, "t", AttemptOutcome::Delivered));
    sent += (0..20)
        .map(|step| attempts_in(&host.idle(45_050.0 + 50.0 * step as f64)))
        .sum::<usize>();
    assert!(sent <= 6, "{sent} in a second");
}

/// Regression: at a used-up limit, two consecutive rejections were taken for a closed destination,
/// and its events were delayed by an unnecessary warm-up. A closed destination reports most of its
/// limit left.
#[rstest]
#[case::used_up(Some(0.1), false)]
#[case::much_left(Some(0.9), true)]
#[case::not_reported(None, true)]
#[case::out_of_range(Some(-1.0), true)]
#[case::not_a_number(Some(f64::NAN), true)]
fn rejections_start_a_warm_up_unless_they_report_a_used_up_limit(
    #[case] limit_remaining: Option<f64>,
    #[case] warms_up: bool,
) {
    let mut host = default_host();
    for (at, name) in [(1.0, "a"), (9000.0, "b")] {
        host.accept(at, name, IDEMPOTENT, 1, None);
        host.end_attempt_with_report(
            at + 1.0,
            name,
            AttemptOutcome::Rejected,
            0.0,
            limit_remaining,
        );
        host.run(at + 2.0, |scheduler| scheduler.withdraw_event(&event(name)));
    }
    assert_eq!(!host.recorded_warm_ups.is_empty(), warms_up);
}

/// Regression: for a forwarder with one event per minute, the counted usual rate was close to zero,
/// and events queued for destinations that had opened again passed their deadlines. A wrong
/// advertised rate must not overload such destinations.
#[rstest]
fn the_warm_up_budget_uses_the_advertised_rate_up_to_a_bound() {
    let sent = |rate: f64| {
        let mut host = Host::new(|config| config.forwarder_count = 10.0);
        host.run(0.0, |scheduler| {
            scheduler.set_advertised_rate(DestinationId(1), rate)
        });
        host.accept(60_000.0, "before", IDEMPOTENT, 1, None);
        host.end_attempt(60_001.0, "before", AttemptOutcome::Delivered);
        host.take_offline(65_000.0);
        for n in 0..8 {
            host.accept(
                65_010.0 + n as f64,
                &format!("held{n}"),
                IDEMPOTENT,
                1,
                None,
            );
        }
        host.end_health_check(65_100.0, "t", AttemptOutcome::Delivered);
        (0..90)
            .map(|step| attempts_in(&host.idle(65_200.0 + 100.0 * step as f64)))
            .sum::<usize>()
    };
    let (unadvertised, advertised, wrong) = (sent(0.0), sent(4.0), sent(4000.0));
    assert!(
        unadvertised < advertised,
        "{unadvertised} unadvertised, {advertised} advertised"
    );
    assert!(
        wrong <= 5,
        "{wrong} of eight were sent with a wrong advertised rate"
    );
}
