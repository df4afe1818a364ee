//! Calls of a lost or suspended owner that may still be in flight.

use plankhill_process_tests::*;
use rstest::rstest;

use crate::IMMEDIATE;

/// Checks that `next` was sent only after the timeout of the call of `pending`.
fn assert_sent_after_timeout(cluster: &Cluster, pending: &str, next: &str) {
    let (started_at, timeout) = cluster.trace.calls(pending)[0];
    let (after, _) = cluster.trace.calls(next)[0];
    assert!(
        after >= started_at + timeout,
        "{next} was sent at {after:.0} ms, but {pending} at {started_at:.0} ms with a timeout of {timeout:.0} ms"
    );
}

#[rstest]
fn a_call_of_the_old_owner_in_flight_delays_its_event_and_the_next_of_its_key() {
    let mut cluster = Cluster::replicated(3);
    cluster.set_target_behavior(TargetBehavior::Hang);
    cluster.submit_accepted(
        0,
        &EventRequest::new("out", Idempotency::Deduplicated).key(5),
    );
    cluster.wait_for_calls("out", 1);
    cluster.submit_accepted(
        0,
        &EventRequest::new("next", Idempotency::Deduplicated).key(5),
    );
    // The target does not detect that its caller is lost.
    cluster.inject_link_fault(0, |owner| {
        owner
            .targets
            .iter()
            .for_each(|link| link.set_delivery(Direction::Forward, Delivery::Stalled))
    });
    cluster.lose_machine(0);
    cluster.set_target_behavior(IMMEDIATE);
    cluster.wait_for_calls("next", 1);
    let calls = cluster.trace.calls("out");
    assert!(
        calls.len() < 2 || calls[1].0 >= calls[0].0 + calls[0].1,
        "{calls:?}"
    );
    assert_sent_after_timeout(&cluster, "out", "next");
    cluster.check_invariants();
}

/// The owner is only suspended: the target has received half of its call, and the owner would write the rest when it
/// resumes.
#[rstest]
fn an_owner_resumed_with_a_half_written_call_repeats_no_non_idempotent_event() {
    let mut cluster = Cluster::replicated(3);
    let stall = |link: &Relay| link.stall_after(Direction::Forward, 40);
    cluster.inject_link_fault(0, |owner| owner.targets.iter().for_each(stall));
    cluster.submit_accepted(
        0,
        &EventRequest::new("half", Idempotency::NonIdempotent).key(5),
    );
    cluster.submit_accepted(
        0,
        &EventRequest::new("next", Idempotency::NonIdempotent).key(5),
    );
    wait_until("half of the call is written", || {
        cluster.instances[0]
            .targets
            .iter()
            .any(|link: &Relay| link.is_stalled())
    });
    let before = cluster.adoption_counts();
    cluster.suspend(0);
    cluster.wait_for_successor(0, &before);
    cluster.instances[0]
        .targets
        .iter()
        .for_each(|link: &Relay| link.heal());
    cluster.resume(0);
    cluster.wait_for_notification("half");
    cluster.wait_for_calls("next", 1);
    cluster.check_invariants();
    assert!(cluster.trace.call_count("half") <= 1);
    assert_eq!(cluster.trace.call_count("next"), 1);
}

#[rstest]
fn an_owner_suspended_under_load_and_resumed_after_its_succession_violates_no_invariant() {
    let mut cluster = Cluster::replicated(3);
    let load = cluster.load(13, 6);
    load.wait_for_accepted(60);
    cluster.set_target_behavior(TargetBehavior::Respond(std::time::Duration::from_millis(
        100,
    )));
    load.wait_for_accepted(20);
    let before = cluster.adoption_counts();
    cluster.suspend(0);
    cluster.wait_for_successor(0, &before);
    load.wait_for_accepted(20);
    cluster.resume(0);
    cluster.wait_until_accepting(0);
    load.stop();
    cluster.check_invariants();
}
