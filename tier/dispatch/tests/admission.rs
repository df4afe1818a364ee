//! Tests of priorities, queue timeouts, `Retry-After` and the session cool-down.

use arbtest::arbtest;
use plankhill_dispatch::admission::{
    priority, queue_deadline, retry_after, QueueReason, LOWEST_PRIORITY,
};
use plankhill_dispatch::session_cooldown::CooldownEstimate;

const REASONS: [QueueReason; 4] = [
    QueueReason::FirstSend,
    QueueReason::Rejected,
    QueueReason::Failed,
    QueueReason::Session,
];

#[test]
fn no_queue_deadline_is_later_than_the_request_deadline() {
    arbtest(|u| {
        let now = f64::from(u.arbitrary::<u32>()?);
        let latency_target = f64::from(u.arbitrary::<u32>()?);
        let deadline = now + f64::from(u.arbitrary::<u32>()?);
        let reason = *u.choose(&REASONS)?;
        let until = queue_deadline(now, reason, latency_target, deadline);
        assert!((now..=deadline).contains(&until));
        Ok(())
    })
    .budget_ms(500);
}

#[test]
fn a_request_never_sent_is_rejected_within_a_quarter_of_its_latency_target() {
    assert!(queue_deadline(0.0, QueueReason::FirstSend, 250.0, 5_000.0) < 62.5);
}

#[test]
fn routes_of_higher_priority_are_more_urgent() {
    assert!(priority(0, None, 250.0) < priority(1, None, 250.0));
    assert!(priority(1, None, 250.0) < priority(2, None, 250.0));
}

#[test]
fn a_program_near_its_end_is_more_urgent_and_a_late_one_less() {
    let on_time = priority(1, Some(60_000.0), 250.0);
    assert!(priority(1, Some(500.0), 250.0) < on_time);
    assert!(priority(1, Some(-1.0), 250.0) > on_time);
}

#[test]
fn priorities_and_retry_after_stay_within_bounds() {
    arbtest(|u| {
        let left = u.arbitrary::<Option<i32>>()?.map(f64::from);
        assert!(
            priority(u.arbitrary()?, left, f64::from(u.arbitrary::<u16>()?)) <= LOWEST_PRIORITY
        );
        let opens_at = u.arbitrary::<Option<i32>>()?.map(f64::from);
        let delay = retry_after(0.0, opens_at, f64::from(u.arbitrary::<u32>()?), 0.5);
        assert!((1.0..=1_000.0).contains(&delay));
        Ok(())
    })
    .budget_ms(500);
}

#[test]
fn the_session_cooldown_follows_the_pauses_within_responses() {
    let mut cooldown = CooldownEstimate::default();
    let before = cooldown.value();
    (0..100).for_each(|_| {
        cooldown.record_pause(15.0);
    });
    assert!(cooldown.value() < before);
    (0..100).for_each(|_| {
        cooldown.record_pause(300.0);
    });
    assert!(cooldown.value() > 300.0);
    assert_eq!(cooldown.record_pause(f64::NAN), None);
    (0..100).for_each(|_| {
        cooldown.record_pause(1e9);
    });
    assert_eq!(cooldown.value(), 1_000.0);
}
