//! Order keys, and the conditions and time limits of retries.

mod host;

use host::{attempts_in, default_host, event, Host, DEDUPLICATED, IDEMPOTENT, NON_IDEMPOTENT};
use plankhill_decisions::interface::{AttemptOutcome, Ms, TrafficTypeId};
use rstest::rstest;

#[rstest]
fn events_of_one_key_are_sent_one_at_a_time_in_the_order_of_acceptance() {
    let mut host = default_host();
    assert_eq!(
        host.accept(1.0, "a", NON_IDEMPOTENT, 1, Some(5)),
        ["send a to t"]
    );
    assert!(
        host.accept(2.0, "b", NON_IDEMPOTENT, 2, Some(5)).is_empty(),
        "all destinations share one key space"
    );
    assert_eq!(
        host.accept(3.0, "c", NON_IDEMPOTENT, 1, Some(6)),
        ["send c to t"]
    );
    assert_eq!(
        host.end_attempt(4.0, "a", AttemptOutcome::Delivered),
        ["send b to u"]
    );
}

#[rstest]
#[case(AttemptOutcome::TimedOut, 300.0)]
#[case(AttemptOutcome::Reset, 300.0)]
#[case(AttemptOutcome::Cancelled, 300.0)]
#[case(AttemptOutcome::Error, 0.0)]
fn a_key_cools_down_after_an_attempt_that_may_still_be_executing(
    #[case] outcome: AttemptOutcome,
    #[case] cooldown: Ms,
) {
    let mut host = default_host();
    host.accept(1.0, "a", NON_IDEMPOTENT, 1, Some(5));
    host.accept(1.0, "b", NON_IDEMPOTENT, 2, Some(5));
    let effects = host.end_attempt(100.0, "a", outcome);
    assert!(effects.contains(&"abandon a".into()));
    assert_eq!(effects.contains(&"send b to u".into()), cooldown == 0.0);
    if cooldown > 0.0 {
        assert!(host.idle(99.0 + cooldown).is_empty());
        assert_eq!(host.idle(100.0 + cooldown), ["send b to u"]);
    }
}

#[rstest]
fn a_withdrawn_event_blocks_its_key_until_its_attempt_has_ended() {
    let mut host = default_host();
    host.accept(1.0, "a", NON_IDEMPOTENT, 1, Some(5));
    host.accept(1.0, "b", NON_IDEMPOTENT, 1, Some(5));
    assert!(host
        .run(2.0, |scheduler| scheduler.withdraw_event(&event("a")))
        .is_empty());
    assert_eq!(
        host.end_attempt(3.0, "a", AttemptOutcome::Delivered),
        ["send b to t"]
    );
}

/// An event that is completed by a notification is finished only once the client acknowledges it.
#[rstest]
fn the_next_event_of_a_key_is_sent_once_the_completion_is_acknowledged() {
    let mut host = default_host();
    host.by_notification = true;
    host.accept(1.0, "a", NON_IDEMPOTENT, 1, Some(5));
    host.accept(1.0, "b", NON_IDEMPOTENT, 2, Some(5));
    assert_eq!(
        host.end_attempt(10.0, "a", AttemptOutcome::Error),
        ["abandon a"]
    );
    assert!(host.idle(500.0).is_empty());
    assert_eq!(
        host.run(501.0, |scheduler| scheduler
            .on_completion_acknowledged(&event("a"))),
        ["send b to u"]
    );
}

#[rstest]
#[case(IDEMPOTENT, AttemptOutcome::TimedOut, "send a to t")]
#[case(DEDUPLICATED, AttemptOutcome::TimedOut, "send a to t")]
#[case(NON_IDEMPOTENT, AttemptOutcome::TimedOut, "abandon a")]
#[case(NON_IDEMPOTENT, AttemptOutcome::Error, "abandon a")]
#[case(NON_IDEMPOTENT, AttemptOutcome::Rejected, "send a to t")]
#[case(NON_IDEMPOTENT, AttemptOutcome::ConnectFailed, "send a to t")]
fn only_events_that_may_run_again_are_retried(
    #[case] traffic: TrafficTypeId,
    #[case] outcome: AttemptOutcome,
    #[case] expected: &str,
) {
    let mut host = default_host();
    host.accept(1.0, "a", traffic, 1, Some(5));
    let mut effects = host.end_attempt(10.0, "a", outcome);
    effects.extend(host.idle(3000.0));
    assert_eq!(effects, [expected]);
}

#[rstest]
fn a_deduplicated_event_is_not_retried_after_its_window() {
    let mut host = default_host();
    host.accept(1.0, "a", DEDUPLICATED, 1, None);
    host.end_attempt(4000.0, "a", AttemptOutcome::TimedOut);
    assert_eq!(host.idle(4650.0), ["send a to t"]);
    let mut effects =
        host.end_attempt_with_retry_after(4700.0, "a", AttemptOutcome::Rejected, 3000.0);
    effects.extend(host.idle(5002.0));
    assert_eq!(effects, ["reject a"]);
}

/// The network code may write a call long after the decision, so the effect carries the time limit
/// for writing it.
#[rstest]
#[case(IDEMPOTENT, f64::INFINITY)]
#[case(DEDUPLICATED, 5001.0)]
fn a_retry_carries_the_time_by_which_its_last_byte_has_to_be_sent(
    #[case] traffic: TrafficTypeId,
    #[case] leaves_by: Ms,
) {
    let mut host = default_host();
    assert_eq!(host.accept(1.0, "a", traffic, 1, None), ["send a to t"]);
    assert_eq!(
        host.last_leaves_by,
        f64::INFINITY,
        "a first attempt has no window"
    );
    host.end_attempt(500.0, "a", AttemptOutcome::Reset);
    assert_eq!(host.idle(1200.0), ["send a to t"]);
    assert_eq!(
        host.last_leaves_by, leaves_by,
        "the window begins at the first attempt that may have run"
    );
}

/// Regression: a connection was established late, and a retry was written after its deduplication
/// window.
#[rstest]
fn a_retry_that_is_unsent_when_its_window_ends_is_cancelled() {
    let mut host = default_host();
    assert_eq!(
        host.accept(1.0, "a", DEDUPLICATED, 1, None),
        ["send a to t"]
    );
    host.end_attempt(500.0, "a", AttemptOutcome::Reset);
    let mut now = 500.0;
    while attempts_in(&host.idle(now)) == 0 {
        now += 10.0;
    }
    assert!(
        host.idle(5000.0).is_empty(),
        "the window of 5 s has not ended"
    );
    assert_eq!(host.idle(5001.0), ["cancel unsent t"]);
    let effects = host.end_attempt(5002.0, "a", AttemptOutcome::NotSent);
    assert_eq!(effects, ["reject a"]);
}

#[rstest]
fn every_event_is_completed_before_its_deadline() {
    let mut host = default_host();
    host.accept(1.0, "a", IDEMPOTENT, 1, None);
    host.end_attempt_with_retry_after(2.0, "a", AttemptOutcome::Rejected, 60_000.0);
    assert!(host.idle(19_000.0).is_empty());
    assert_eq!(host.idle(19_999.0), ["reject a"]);
}

#[rstest]
fn an_event_out_of_attempts_is_rejected_at_once() {
    let mut host = Host::new(|config| config.max_attempts = 1);
    host.accept(1.0, "a", IDEMPOTENT, 1, None);
    assert_eq!(
        host.end_attempt(2.0, "a", AttemptOutcome::Error),
        ["reject a"]
    );
}
