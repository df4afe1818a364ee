//! Stories of key order, of what may be sent again and of how long.

mod host;

use host::*;
use plankhill_decisions::interface::*;
use rstest::rstest;

#[rstest]
fn events_of_one_key_go_one_at_a_time_in_the_order_taken() {
    let mut host = plain();
    assert_eq!(host.take(1.0, "a", BINDING, 1, Some(5)), ["send a to t"]);
    assert!(
        host.take(2.0, "b", BINDING, 2, Some(5)).is_empty(),
        "one key space for all destinations"
    );
    assert_eq!(host.take(3.0, "c", BINDING, 1, Some(6)), ["send c to t"]);
    assert_eq!(
        host.ends(4.0, "a", AttemptOutcome::Delivered),
        ["send b to u"]
    );
}

#[rstest]
#[case(AttemptOutcome::TimedOut, 300.0)]
#[case(AttemptOutcome::Reset, 300.0)]
#[case(AttemptOutcome::Cancelled, 300.0)]
#[case(AttemptOutcome::Error, 0.0)]
fn a_key_rests_after_a_send_that_may_still_run(#[case] fate: AttemptOutcome, #[case] rest: Ms) {
    let mut host = plain();
    host.take(1.0, "a", BINDING, 1, Some(5));
    host.take(1.0, "b", BINDING, 2, Some(5));
    let told = host.ends(100.0, "a", fate);
    assert!(told.contains(&"write off a".into()));
    assert_eq!(told.contains(&"send b to u".into()), rest == 0.0);
    if rest > 0.0 {
        assert!(host.idle(99.0 + rest).is_empty());
        assert_eq!(host.idle(100.0 + rest), ["send b to u"]);
    }
}

#[rstest]
fn a_withdrawn_event_blocks_its_key_until_its_send_has_ended() {
    let mut host = plain();
    host.take(1.0, "a", BINDING, 1, Some(5));
    host.take(1.0, "b", BINDING, 1, Some(5));
    assert!(host.at(2.0, |f| f.withdraw_event(&event("a"))).is_empty());
    assert_eq!(
        host.ends(3.0, "a", AttemptOutcome::Delivered),
        ["send b to t"]
    );
}

/// Guards key order on sockets, where an event that ends by a notice is over only once that is answered.
#[rstest]
fn the_next_of_a_key_goes_once_the_notice_was_heard() {
    let mut host = plain();
    host.notices = true;
    host.take(1.0, "a", BINDING, 1, Some(5));
    host.take(1.0, "b", BINDING, 2, Some(5));
    assert_eq!(host.ends(10.0, "a", AttemptOutcome::Error), ["write off a"]);
    assert!(host.idle(500.0).is_empty());
    assert_eq!(
        host.at(501.0, |f| f.on_completion_acknowledged(&event("a"))),
        ["send b to u"]
    );
}

#[rstest]
#[case(RETRIABLE, AttemptOutcome::TimedOut, "send a to t")]
#[case(FINGERPRINTED, AttemptOutcome::TimedOut, "send a to t")]
#[case(BINDING, AttemptOutcome::TimedOut, "write off a")]
#[case(BINDING, AttemptOutcome::Error, "write off a")]
#[case(BINDING, AttemptOutcome::Rejected, "send a to t")]
#[case(BINDING, AttemptOutcome::ConnectFailed, "send a to t")]
fn only_what_may_run_again_is_sent_again(
    #[case] traffic: TrafficTypeId,
    #[case] fate: AttemptOutcome,
    #[case] then: &str,
) {
    let mut host = plain();
    host.take(1.0, "a", traffic, 1, Some(5));
    let mut told = host.ends(10.0, "a", fate);
    told.extend(host.idle(3000.0));
    assert_eq!(told, [then]);
}

#[rstest]
fn a_fingerprinted_event_is_not_sent_after_its_window() {
    let mut host = plain();
    host.take(1.0, "a", FINGERPRINTED, 1, None);
    host.ends(4000.0, "a", AttemptOutcome::TimedOut);
    assert_eq!(host.idle(4650.0), ["send a to t"]);
    let mut told = host.ends_with(4700.0, "a", AttemptOutcome::Rejected, 3000.0);
    told.extend(host.idle(5002.0));
    assert_eq!(told, ["dismiss a"]);
}

/// The network code may write a call long after it was decided: it is told until when it may.
#[rstest]
#[case(RETRIABLE, f64::INFINITY)]
#[case(FINGERPRINTED, 5001.0)]
fn a_repeat_is_told_when_its_last_byte_has_to_have_left(
    #[case] traffic: TrafficTypeId,
    #[case] leaves_by: Ms,
) {
    let mut host = plain();
    assert_eq!(host.take(1.0, "a", traffic, 1, None), ["send a to t"]);
    assert_eq!(host.leaves_by, f64::INFINITY, "a first send has no window");
    host.ends(500.0, "a", AttemptOutcome::Reset);
    assert_eq!(host.idle(1200.0), ["send a to t"]);
    assert_eq!(
        host.leaves_by, leaves_by,
        "counted from the first send that may have run"
    );
}

/// Met in the emulator: a connection took its time to come up, and a repeat was written after the window.
#[rstest]
fn a_repeat_that_is_not_written_when_its_window_ends_is_taken_back() {
    let mut host = plain();
    assert_eq!(host.take(1.0, "a", FINGERPRINTED, 1, None), ["send a to t"]);
    host.ends(500.0, "a", AttemptOutcome::Reset);
    let mut now = 500.0;
    while sends(&host.idle(now)) == 0 {
        now += 10.0;
    }
    assert!(host.idle(5000.0).is_empty(), "the window of 5 s is open");
    assert_eq!(host.idle(5001.0), ["take back t"]);
    let told = host.ends(5002.0, "a", AttemptOutcome::NotSent);
    assert_eq!(told, ["dismiss a"]);
}

#[rstest]
fn every_event_ends_before_its_patience() {
    let mut host = plain();
    host.take(1.0, "a", RETRIABLE, 1, None);
    host.ends_with(2.0, "a", AttemptOutcome::Rejected, 60_000.0);
    assert!(host.idle(19_000.0).is_empty());
    assert_eq!(host.idle(19_999.0), ["dismiss a"]);
}

#[rstest]
fn an_event_out_of_sends_is_dismissed_at_once() {
    let mut host = Host::new(|terms| terms.max_attempts = 1);
    host.take(1.0, "a", RETRIABLE, 1, None);
    assert_eq!(host.ends(2.0, "a", AttemptOutcome::Error), ["dismiss a"]);
}
