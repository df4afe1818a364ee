//! Retry-afters and rejections, and the resulting backoffs and paces.

mod host;

use host::{attempts_in, default_host, event, target, Host, IDEMPOTENT};
use plankhill_decisions::interface::{
    AttemptOutcome, DestinationId, DestinationKindId, EndpointState, Ms, ZoneId,
};
use rstest::rstest;

#[rstest]
fn a_retry_after_blocks_the_entire_destination_and_no_other() {
    let mut host = default_host();
    host.accept(1.0, "a", IDEMPOTENT, 1, None);
    host.end_attempt_with_retry_after(2.0, "a", AttemptOutcome::Rejected, 1500.0);
    assert!(host.accept(3.0, "b", IDEMPOTENT, 1, None).is_empty());
    assert_eq!(host.accept(4.0, "c", IDEMPOTENT, 2, None), ["send c to u"]);
    assert!(host.idle(1501.0).is_empty());
    assert_eq!(
        attempts_in(&host.idle(1502.5)) + attempts_in(&host.idle(2500.0)),
        1
    );
}

/// Regression: forwarders that were rejected together retried together and were rejected again.
#[rstest]
fn many_forwarders_do_not_retry_together_after_a_retry_after() {
    let first_call_step = |seed: u64| {
        let mut host = Host::new(|config| (config.seed, config.forwarder_count) = (seed, 49.0));
        host.accept(1.0, "a", IDEMPOTENT, 1, None);
        host.end_attempt_with_retry_after(2.0, "a", AttemptOutcome::Rejected, 500.0);
        (1..100)
            .find(|step| attempts_in(&host.idle(502.0 + 100.0 * *step as f64)) > 0)
            .expect("sends another call")
    };
    let early = (0..20).filter(|&seed| first_call_step(seed) < 8).count();
    assert!(
        (1..12).contains(&early),
        "{early} of 20 in the first of four seconds"
    );
}

/// Regression: a closed route reported its opening time to all forwarders, and all of them sent
/// calls within seconds of that time.
#[rstest]
fn first_calls_after_a_long_retry_after_are_spread_by_the_warm_up_budget() {
    let early = |seed: u64| {
        let mut host = Host::new(|config| (config.seed, config.forwarder_count) = (seed, 180.0));
        host.accept(60_000.0, "a", IDEMPOTENT, 1, None);
        host.end_attempt_with_retry_after(60_001.0, "a", AttemptOutcome::Rejected, 9000.0);
        (0..70)
            .map(|step| attempts_in(&host.idle(69_002.0 + 100.0 * step as f64)))
            .sum::<usize>()
    };
    let early: usize = (0..20).map(early).sum();
    assert!(early <= 4, "{early} of 20 in seven seconds");
}

/// Regression: an event that was rejected by one route was sent to the next one at once, and so on
/// to all of them.
#[rstest]
fn an_event_that_is_rejected_again_backs_off_longer() {
    let mut host = default_host();
    host.accept(1.0, "a", IDEMPOTENT, 3, None);
    let mut at = 1.0;
    let mut gaps = Vec::new();
    for _ in 0..3 {
        host.end_attempt(at, "a", AttemptOutcome::Rejected);
        let from = at;
        while attempts_in(&host.idle(at)) == 0 {
            at += 10.0;
        }
        gaps.push(at - from);
    }
    assert!(gaps[0] < 400.0 && gaps[2] > 700.0, "{gaps:?}");
}

/// Regression: each event of a call received its own retry-after, and only the first one was
/// respected.
#[rstest]
fn every_event_of_a_call_may_receive_a_retry_after() {
    let mut host = default_host();
    host.run(1.0, |scheduler| {
        scheduler.on_endpoint_listed(
            target("w"),
            DestinationId(3),
            DestinationKindId(1),
            ZoneId(0),
            EndpointState::Draining,
        );
        for name in ["a", "b"] {
            scheduler.accept_event(event(name), DestinationId(3), IDEMPOTENT, 20_000.0, None);
        }
    });
    host.end_attempt_with_retry_after(2.0, "a", AttemptOutcome::Rejected, 100.0);
    host.end_attempt_with_retry_after(3.0, "b", AttemptOutcome::Rejected, 900.0);
    assert_eq!(attempts_in(&host.idle(850.0)), 0);
}

/// A connection may be established long after the decision to send the call.
#[rstest]
fn unsent_calls_are_cancelled_when_a_retry_after_comes() {
    let mut host = default_host();
    host.accept(1.0, "a", IDEMPOTENT, 1, None);
    host.accept(1.0, "b", IDEMPOTENT, 1, None);
    assert_eq!(
        host.end_attempt_with_retry_after(2.0, "a", AttemptOutcome::Rejected, 500.0),
        ["cancel unsent t"]
    );
}

#[rstest]
fn the_retry_after_of_a_route_that_was_removed_and_listed_again_is_kept() {
    let mut host = default_host();
    host.run(0.0, |scheduler| {
        scheduler.set_endpoint_state(&target("w"), EndpointState::Removed)
    });
    host.accept(1.0, "a", IDEMPOTENT, 3, None);
    host.end_attempt_with_retry_after(2.0, "a", AttemptOutcome::Rejected, 5000.0);
    host.run(3.0, |scheduler| {
        scheduler.set_endpoint_state(&target("v"), EndpointState::Removed)
    });
    host.list(4.0, "v", 3, 1, EndpointState::Running);
    assert!(host.idle(4000.0).is_empty());
    assert_eq!(
        attempts_in(&host.accept(60_000.0, "b", IDEMPOTENT, 3, None)),
        1
    );
}

#[rstest]
fn a_rejection_without_a_retry_after_blocks_the_lane_briefly() {
    let mut host = default_host();
    host.accept(1.0, "a", IDEMPOTENT, 1, None);
    host.end_attempt(2.0, "a", AttemptOutcome::Rejected);
    assert!(host.accept(50.0, "b", IDEMPOTENT, 1, None).is_empty());
    assert!(attempts_in(&host.idle(1400.0)) > 0);
}

#[rstest]
fn rejected_calls_are_not_retried_at_the_rate_that_was_rejected() {
    let mut host = default_host();
    let mut sent = 0;
    for step in 0..40 {
        let (now, name) = (1.0 + 50.0 * step as f64, format!("e{step}"));
        let effects = host.accept(now, &name, IDEMPOTENT, 1, None);
        for effect in effects.iter().filter(|effect| effect.starts_with("send")) {
            sent += 1;
            host.end_attempt(
                now,
                effect.split(' ').nth(1).expect("a name"),
                AttemptOutcome::Rejected,
            );
        }
    }
    assert!((1..=8).contains(&sent), "{sent} in two seconds");
}

/// Regression: after a rejection among its first calls, a forwarder sent less than the destination
/// would have accepted for the rest of the run. Also, the rejection of a burst set a pace below the
/// usual traffic.
#[rstest]
#[case(1.0)]
#[case(6_000.0)]
fn after_one_rejection_the_pace_soon_reaches_the_demand(#[case] rejected_at: Ms) {
    let mut host = default_host();
    let (mut sent, mut rejected) = (0, false);
    for step in 0..700 {
        let now = 1.0 + 20.0 * step as f64;
        let effects = match step % 2 {
            0 => host.accept(now, &format!("e{step}"), IDEMPOTENT, 1, None),
            _ => host.idle(now),
        };
        for effect in effects.iter().filter(|effect| effect.starts_with("send")) {
            sent += (now > rejected_at + 5_000.0 && now <= rejected_at + 6_000.0) as usize;
            let outcome = if now >= rejected_at && !rejected {
                AttemptOutcome::Rejected
            } else {
                AttemptOutcome::Delivered
            };
            rejected |= outcome == AttemptOutcome::Rejected;
            host.end_attempt(now, effect.split(' ').nth(1).expect("a name"), outcome);
        }
    }
    assert!(
        sent >= 15,
        "{sent} calls in the sixth second after the rejection, of 25 accepted events"
    );
}

/// Regression: where rejected calls count against the limit, 198 forwarders that retried within
/// seconds left 0.6 of a destination's 5.7 calls a second. Elsewhere, a spread proportional to the
/// fleet size caused unnecessary waits of a minute.
#[rstest]
fn the_spread_grows_with_the_share_of_calls_that_are_rejected() {
    let first_call_step = |rejected: u64, limit_remaining: Option<f64>, seed: u64| {
        let mut host = Host::new(|config| (config.seed, config.forwarder_count) = (seed, 200.0));
        for n in 0..30 {
            let (other, name) = (DestinationId(n + 10), format!("other{n}"));
            host.run(n as f64, |scheduler| {
                scheduler.on_endpoint_listed(
                    target(&name),
                    other,
                    DestinationKindId(0),
                    ZoneId(0),
                    EndpointState::Running,
                )
            });
            host.accept(n as f64, &name, IDEMPOTENT, other.0, None);
            let outcome = if n < rejected {
                AttemptOutcome::Rejected
            } else {
                AttemptOutcome::Delivered
            };
            host.end_attempt_with_report(n as f64, &name, outcome, 0.0, limit_remaining);
            host.run(n as f64, |scheduler| {
                scheduler.withdraw_event(&event(&name))
            });
        }
        host.accept(100.0, "a", IDEMPOTENT, 1, None);
        host.end_attempt(101.0, "a", AttemptOutcome::Rejected);
        (1..200)
            .find(|step| attempts_in(&host.idle(101.0 + 100.0 * *step as f64)) > 0)
            .unwrap_or(200)
    };
    let mean = |rejected, limit_remaining| {
        (0..20)
            .map(|seed| first_call_step(rejected, limit_remaining, seed))
            .sum::<usize>()
            / 20
    };
    assert!(mean(1, None) < 20, "{} tenths of a second", mean(1, None));
    assert!(
        mean(29, None) > 2 * mean(1, None),
        "{} tenths of a second",
        mean(29, None)
    );
    assert!(
        mean(12, Some(0.0)) > 2 * mean(12, Some(0.9)),
        "a limit that is not used up needs no long spread"
    );
}

/// Regression: after one rejection by a destination that accepted sixty calls a second, forwarders
/// sent it no calls for twenty seconds.
#[rstest]
fn the_spread_after_a_rejection_spans_eight_usual_calls_at_most() {
    for seed in 0..30 {
        let mut host = Host::new(|config| (config.seed, config.forwarder_count) = (seed, 60.0));
        host.run_healthily(5_000.0);
        let others = ["b", "c", "d", "e", "f", "g", "h"];
        for name in others {
            host.accept(8_000.0, name, IDEMPOTENT, 2, None);
        }
        for name in others {
            host.end_attempt(8_050.0, name, AttemptOutcome::Rejected);
        }
        host.accept(8_100.0, "a", IDEMPOTENT, 1, None);
        host.end_attempt(8_110.0, "a", AttemptOutcome::Rejected);
        let sent = (0..45).any(|n| {
            host.idle(8_150.0 + 50.0 * n as f64)
                .contains(&"send a to t".into())
        });
        assert!(
            sent,
            "no call for 2.2 s at a usual rate of five a second (seed {seed})"
        );
    }
}

/// Regression: a burst was rejected while a destination recovered, and for seconds 59 forwarders
/// kept paces that left half of the advertised rate unused, while they shed queued events.
#[rstest]
#[case::advertised(40.0, 15, 25)]
#[case::not_advertised(0.0, 0, 5)]
fn the_pace_after_a_rejection_is_an_even_part_of_the_advertised_rate_at_least(
    #[case] advertised_rate: f64,
    #[case] min_sent: usize,
    #[case] max_sent: usize,
) {
    let mut host = default_host();
    host.run(0.0, |scheduler| {
        scheduler.set_advertised_rate(DestinationId(1), advertised_rate)
    });
    host.accept(1.0, "a", IDEMPOTENT, 1, None);
    host.accept(1.0, "b", IDEMPOTENT, 1, None);
    host.end_attempt(50.0, "a", AttemptOutcome::Rejected);
    host.end_attempt(51.0, "b", AttemptOutcome::Delivered);
    let mut sent = 0;
    for n in 0..50 {
        let (name, now) = (format!("e{n}"), 4_000.0 + 20.0 * n as f64);
        let mut effects = host.accept(now, &name, IDEMPOTENT, 1, None);
        while let Some(name) = effects
            .iter()
            .find_map(|effect| effect.strip_prefix("send "))
        {
            sent += 1;
            effects = host.end_attempt(
                now,
                name.split(' ').next().expect("a name"),
                AttemptOutcome::Delivered,
            );
        }
    }
    assert!((min_sent..=max_sent).contains(&sent), "{sent} in a second");
}
