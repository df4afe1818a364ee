//! Loss of one or more machines with their disks.

use std::time::Duration;

use plankhill_process_tests::*;
use rstest::rstest;

use crate::IMMEDIATE;

#[rstest]
fn the_successor_completes_all_accepted_events_of_a_lost_owner() {
    let mut cluster = Cluster::replicated(3);
    let load = cluster.load(11, 6);
    load.wait_for_accepted(100);
    cluster.set_target_behavior(TargetBehavior::Respond(Duration::from_millis(100)));
    load.wait_for_accepted(20);
    let before = cluster.adoption_counts();
    cluster.lose_machine(0);
    cluster.wait_for_successor(0, &before);
    load.wait_for_accepted(40);
    load.stop();
    cluster.check_invariants();
}

/// A non-idempotent event whose call may have been sent must not be sent again.
#[rstest]
fn the_successor_abandons_a_non_idempotent_event_in_flight_and_resends_the_others() {
    let mut cluster = Cluster::replicated(3);
    cluster.set_target_behavior(TargetBehavior::Hang);
    cluster.submit_one_of_each_idempotency(0);
    cluster.lose_machine(0);
    cluster.set_target_behavior(IMMEDIATE);
    cluster.check_resends_by_idempotency();
}

/// The client receives no 202 and submits the event to another instance. The first submission, which was not
/// acknowledged, may have taken effect as well; a client that switches instances has to accept that.
#[rstest]
#[case(Idempotency::Idempotent)]
#[case(Idempotency::NonIdempotent)]
fn an_event_whose_202_was_lost_may_be_submitted_to_another_instance(
    #[case] idempotency: Idempotency,
) {
    let mut cluster = Cluster::replicated(3);
    cluster.set_target_behavior(TargetBehavior::Hang);
    cluster.instances[0].clients.stall_after(Direction::Back, 0);
    let first = EventRequest::new("first", idempotency);
    let answer = std::thread::scope(|scope| {
        let client = scope.spawn(|| cluster.submit(0, &first));
        // The call implies that the event was committed.
        cluster.wait_for_calls("first", 1);
        cluster.instances[0].clients.reset_and_refuse();
        client.join().expect("the client does not panic")
    });
    assert_eq!(answer, Answer::NoResponse);
    cluster.lose_machine(0);
    cluster.set_target_behavior(IMMEDIATE);
    cluster.submit_accepted(1, &first.with_id("second"));
    cluster.wait_for_calls("second", 1);
    cluster.check_invariants();
    assert_eq!(cluster.trace.call_count("second"), 1);
}

#[rstest]
fn two_machines_lost_in_turn_lose_no_event_if_replicas_are_restored_in_between() {
    let mut cluster = Cluster::replicated(5);
    cluster.set_target_behavior(TargetBehavior::Hang);
    for number in 0..12 {
        let idempotency = [
            Idempotency::NonIdempotent,
            Idempotency::Deduplicated,
            Idempotency::Idempotent,
        ][number % 3];
        cluster.submit_accepted(
            0,
            &EventRequest::new(&format!("e{number}"), idempotency).key(number as u64 % 2),
        );
    }
    let before = cluster.adoption_counts();
    cluster.lose_machine(0);
    let successor = cluster.wait_for_successor(0, &before);
    cluster.wait_for_new_replicas(successor);
    let before = cluster.adoption_counts();
    cluster.lose_machine(successor);
    cluster.wait_for_successor(successor, &before);
    cluster.set_target_behavior(IMMEDIATE);
    cluster.check_invariants();
}

#[rstest]
fn without_a_quorum_no_event_is_accepted_and_none_is_lost() {
    let mut cluster = Cluster::replicated(3);
    cluster.set_target_behavior(TargetBehavior::Hang);
    for number in 0..6 {
        cluster.submit_accepted(
            0,
            &EventRequest::new(&format!("e{number}"), Idempotency::NonIdempotent),
        );
    }
    cluster.kill(0);
    cluster.kill(1);
    wait_until("n2 accepts nothing without a quorum", || {
        let id = format!("alone-{:.0}", cluster.trace.now());
        let event = EventRequest::new(&id, Idempotency::Idempotent)
            .response_timeout(Duration::from_secs(1));
        cluster.submit(2, &event) != Answer::Accepted
    });
    let event = EventRequest::new("alone", Idempotency::Idempotent)
        .response_timeout(Duration::from_secs(3));
    assert_ne!(cluster.submit(2, &event), Answer::Accepted);
    cluster.set_target_behavior(IMMEDIATE);
    cluster.start_instances(&[0, 1]);
    (0..3).for_each(|instance| cluster.wait_until_accepting(instance));
    cluster.check_invariants();
}

#[rstest]
fn instances_all_killed_at_once_and_restarted_keep_their_pending_events() {
    let mut cluster = Cluster::replicated(3);
    let load = cluster.load(12, 6);
    load.wait_for_accepted(60);
    cluster.set_target_behavior(TargetBehavior::Respond(Duration::from_millis(50)));
    load.wait_for_accepted(20);
    (0..3).for_each(|instance| cluster.kill(instance));
    cluster.start_all();
    load.wait_for_accepted(60);
    load.stop();
    cluster.check_invariants();
}
