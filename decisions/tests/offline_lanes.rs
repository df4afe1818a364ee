//! Lanes that go offline, and the health checks that take them back online.

mod host;

use host::{attempts_in, default_host, event, Host, IDEMPOTENT, NON_IDEMPOTENT};
use plankhill_decisions::interface::{
    AttemptOutcome, AttemptReport, DestinationId, EndpointState, Ms,
};
use rstest::rstest;

#[rstest]
fn two_failures_in_a_row_take_a_lane_offline_until_a_health_check_is_answered() {
    let mut host = default_host();
    host.take_offline(1.0);
    assert!(host.accept(900.0, "a", IDEMPOTENT, 1, None).is_empty());
    host.end_health_check(1000.0, "t", AttemptOutcome::ConnectFailed);
    assert_eq!(host.idle(2300.0), ["health-check t"]);
    let effects = host.end_health_check(2400.0, "t", AttemptOutcome::Rejected);
    assert_eq!(
        attempts_in(&effects) + attempts_in(&host.idle(4300.0)),
        1,
        "any answer takes the lane back online"
    );
}

#[rstest]
fn without_health_checks_the_oldest_event_is_the_trial_call() {
    let mut host = Host::new(|config| config.health_checks_allowed = false);
    host.accept(1.0, "a", IDEMPOTENT, 1, None);
    host.accept(1.0, "b", IDEMPOTENT, 1, None);
    host.end_attempt(2.0, "a", AttemptOutcome::ConnectFailed);
    host.end_attempt(2.0, "b", AttemptOutcome::ConnectFailed);
    assert_eq!(host.idle(1500.0), ["send a to t"]);
}

/// Regression: a burst after the start was counted as usual traffic, and health checks were sent
/// every second.
#[rstest]
fn many_forwarders_space_their_health_checks_and_send_none_without_queued_events() {
    let mut host = Host::new(|config| config.forwarder_count = 200.0);
    host.take_offline(1.0);
    let mut health_checks = 0;
    for step in 0..60 {
        let now = 400.0 + 200.0 * step as f64;
        if host.idle(now).contains(&"health-check t".into()) || step == 0 {
            health_checks += 1;
            host.end_health_check(now, "t", AttemptOutcome::ConnectFailed);
        }
    }
    assert!(health_checks <= 4, "{health_checks} in twelve seconds");
    let mut without_queue = Host::new(|_| ());
    without_queue.accept(1.0, "a", NON_IDEMPOTENT, 1, None);
    without_queue.accept(1.0, "b", NON_IDEMPOTENT, 1, None);
    without_queue.end_attempt(1600.0, "a", AttemptOutcome::TimedOut);
    assert_eq!(
        without_queue.end_attempt(1600.0, "b", AttemptOutcome::TimedOut),
        ["abandon b"],
        "no health check is sent without queued events"
    );
}

/// Regression: one of a hundred forwarders sent a health check to a destination that was down, then
/// none for 10 s; the destination recovered after 4 s, and the events queued for it passed their
/// deadlines. An interval of 3.3 s was too short: with the calls that followed, the health checks
/// of 52 forwarders overloaded a small destination during its recovery.
#[rstest]
fn each_of_a_hundred_forwarders_detects_a_recovery_within_seconds() {
    for seed in [1, 2, 3] {
        let mut host = Host::new(|config| (config.seed, config.forwarder_count) = (seed, 100.0));
        host.take_offline(1.0);
        host.end_health_check(100.0, "t", AttemptOutcome::ConnectFailed);
        let (mut last, mut longest) = (100.0, 0.0_f64);
        for step in 1..100 {
            let now = 100.0 + 100.0 * step as f64;
            if host.idle(now).contains(&"health-check t".into()) {
                longest = longest.max(now - last);
                last = now;
                host.end_health_check(now, "t", AttemptOutcome::ConnectFailed);
            }
        }
        assert!(
            longest <= 8_500.0,
            "seed {seed}: {longest} ms without a health check"
        );
        assert!(
            10_000.0 - last <= 8_500.0,
            "seed {seed}: no health check since {last}"
        );
    }
}

/// Regression: a tenth of the calls was reset at destinations that answered calls all the time.
#[rstest]
#[case(100.0, false)]
#[case(2_000.0, true)]
fn resets_shortly_after_deliveries_take_no_lane_offline(
    #[case] after: Ms,
    #[case] sends_health_check: bool,
) {
    let mut host = default_host();
    host.run_healthily(5_000.0);
    let at = 5_000.0 + after;
    host.accept(at, "a", IDEMPOTENT, 1, None);
    host.accept(at, "b", IDEMPOTENT, 1, None);
    host.end_attempt(at + 1.0, "a", AttemptOutcome::Reset);
    assert_eq!(
        host.end_attempt(at + 1.0, "b", AttemptOutcome::Reset)
            .contains(&"health-check t".into()),
        sends_health_check
    );
}

/// Regression: backlogged calls close to their deadline were cut short after some milliseconds, and
/// two of them took a destination offline that had just recovered.
#[rstest]
fn calls_cut_short_by_the_deadline_take_no_lane_offline() {
    let mut host = default_host();
    for (name, at) in [("a", 1.0), ("b", 200.0)] {
        host.run(at, |scheduler| {
            scheduler.accept_event(event(name), DestinationId(1), IDEMPOTENT, at + 100.0, None)
        });
        host.run(at + 70.0, |scheduler| {
            scheduler
                .on_attempt_ended(
                    &event(name),
                    AttemptReport {
                        elapsed: 70.0,
                        ..AttemptReport::from_outcome(AttemptOutcome::TimedOut)
                    },
                )
                .expect("was sent")
        });
    }
    host.accept(400.0, "c", IDEMPOTENT, 1, None);
    assert!(host
        .idle(401.0)
        .iter()
        .all(|effect| !effect.starts_with("health-check")));
    assert!(
        host.end_attempt(500.0, "c", AttemptOutcome::Delivered)
            .is_empty(),
        "the event was sent at once"
    );
}

/// Regression: the retry was sent to the failed one of two targets again, and the destination went
/// offline and had to warm up.
#[rstest]
fn one_failed_target_of_two_does_not_take_its_lane_offline() {
    for seed in 0..40 {
        let mut host = Host::new(|config| config.seed = seed);
        host.list(0.0, "dead", 1, 0, EndpointState::Running);
        let mut effects = host.accept(1.0, "a", IDEMPOTENT, 1, None);
        if effects == ["send a to dead"] {
            host.end_attempt(2.0, "a", AttemptOutcome::ConnectFailed);
            let mut at = 2.0;
            effects = Vec::new();
            while attempts_in(&effects) == 0 {
                at += 10.0;
                effects = host.idle(at);
            }
        }
        assert_eq!(effects, ["send a to t"], "seed {seed}");
    }
}
