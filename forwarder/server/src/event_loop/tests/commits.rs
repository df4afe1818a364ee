//! Tests of effects that wait for the commits of the own group.

use plankhill_event_log::EventTable;
use plankhill_hot_restart::SubmitResponse;
use plankhill_raft_groups::{
    GroupEvent, GroupRequest, Incarnation, InstanceName, Purpose, StateMachine, Term,
};
use plankhill_replication::state_machine::encode_command;

use super::blocked_target::BlockedTarget;
use super::fake_raft::{own_group, peer_group};
use super::{accepted_event, config, Harness, CHARGE, JOB, OK};
use crate::messages::Input;

/// A forwarder that leads its own empty group.
fn leading() -> (Harness, EventTable) {
    let harness = Harness::new(|_| ());
    harness.expect_request(|order| {
        matches!(
            order,
            GroupRequest::Create {
                purpose: Purpose::EventLog
            }
        )
    });
    harness.elect_own_group();
    (harness, EventTable::default())
}

#[test]
fn response_and_request_are_sent_once_acceptance_and_attempt_are_committed() {
    let (harness, mut replica) = leading();
    let response = harness.submit("a", JOB);
    let number = harness.next_proposal(own_group(1), &mut replica);
    let pending = replica.pending_events();
    assert_eq!(
        (
            pending.len(),
            pending[0].attempts,
            pending[0].timeout.is_some()
        ),
        (1, 1, true),
        "acceptance and attempt are in one proposal"
    );
    harness.expect_no_call();
    assert!(
        response.is_empty(),
        "no response is sent before a majority has the record"
    );
    harness.group_event(GroupEvent::Committed {
        group: own_group(1),
        number,
    });
    assert_eq!(harness.response(&response), Some(SubmitResponse::Accepted));
    let call = harness.next_call();
    assert_eq!(call.id(), "a");
    call.respond(OK);
    harness.next_proposal(own_group(1), &mut replica);
    assert!(replica.is_empty(), "the completion is replicated");
}

#[test]
fn iterations_continue_while_earlier_ones_wait_and_are_released_in_order() {
    let (harness, mut replica) = leading();
    let first = harness.submit("a", JOB);
    let one = harness.next_proposal(own_group(1), &mut replica);
    let second = harness.submit("b", JOB);
    let two = harness.next_proposal(own_group(1), &mut replica);
    harness.group_event(GroupEvent::Committed {
        group: own_group(1),
        number: two,
    });
    harness.run_pending_iterations();
    assert!(
        second.is_empty(),
        "the previous iteration is not committed yet"
    );
    harness.group_event(GroupEvent::Committed {
        group: own_group(1),
        number: one,
    });
    assert_eq!(harness.response(&first), Some(SubmitResponse::Accepted));
    assert_eq!(harness.response(&second), Some(SubmitResponse::Accepted));
}

#[test]
fn a_discarded_acceptance_is_rejected_and_never_sent() {
    let (harness, mut replica) = leading();
    let response = harness.submit("a", CHARGE);
    let number = harness.next_proposal(own_group(1), &mut replica);
    harness.group_event(GroupEvent::Deposed {
        group: own_group(1),
    });
    harness.run_pending_iterations();
    assert!(response.is_empty(), "the acceptance may still be committed");
    harness.group_event(GroupEvent::Discarded {
        group: own_group(1),
        number,
    });
    assert_eq!(
        harness.response(&response),
        Some(SubmitResponse::Rejected(None))
    );
    harness.expect_no_call();
}

#[test]
fn an_acceptance_committed_after_its_leader_was_deposed_is_confirmed_and_left_to_the_successor() {
    let (harness, mut replica) = leading();
    let response = harness.submit("a", CHARGE);
    let number = harness.next_proposal(own_group(1), &mut replica);
    harness.group_event(GroupEvent::Deposed {
        group: own_group(1),
    });
    harness.group_event(GroupEvent::Committed {
        group: own_group(1),
        number,
    });
    assert_eq!(harness.response(&response), Some(SubmitResponse::Accepted));
    harness.expect_no_call();
    harness.expect_request(|order| matches!(order, GroupRequest::Create { .. }));
    assert_eq!(
        replica.len(),
        1,
        "the event is pending at the next leader of the group"
    );
}

#[test]
fn without_a_led_group_or_its_lease_nothing_is_accepted_or_sent() {
    let (harness, mut replica) = leading();
    harness.groups.holds_lease.set(false);
    assert_eq!(
        harness.response(&harness.submit("a", JOB)),
        Some(SubmitResponse::Rejected(None))
    );
    assert!(
        !harness.context.is_ready(),
        "readiness changes at once, without an iteration"
    );
    harness.groups.holds_lease.set(true);
    let response = harness.submit("b", JOB);
    let number = harness.next_proposal(own_group(1), &mut replica);
    harness.groups.holds_lease.set(false);
    harness.group_event(GroupEvent::Committed {
        group: own_group(1),
        number,
    });
    assert_eq!(harness.response(&response), Some(SubmitResponse::Accepted));
    harness.expect_no_call();
    harness.group_event(GroupEvent::Deposed {
        group: own_group(1),
    });
    harness.groups.holds_lease.set(true);
    harness.expect_no_call();
    assert_eq!(
        harness.response(&harness.submit("c", JOB)),
        Some(SubmitResponse::Rejected(None))
    );
}

#[test]
fn a_committed_attempt_waits_while_its_lease_has_lapsed_and_is_sent_once_the_lease_is_renewed() {
    let (harness, mut replica) = leading();
    harness.submit("a", CHARGE);
    let number = harness.next_proposal(own_group(1), &mut replica);
    harness.groups.holds_lease.set(false);
    harness.group_event(GroupEvent::Committed {
        group: own_group(1),
        number,
    });
    harness.expect_no_call();
    harness.groups.holds_lease.set(true);
    assert_eq!(harness.next_call().id(), "a");
}

#[test]
fn replicas_without_capacity_reject_new_events() {
    let (harness, mut replica) = leading();
    harness.groups.has_capacity.set(false);
    assert_eq!(
        harness.response(&harness.submit("a", JOB)),
        Some(SubmitResponse::Rejected(None))
    );
    harness.groups.has_capacity.set(true);
    let accepted = harness.submit("b", JOB);
    harness.commit_next(own_group(1), &mut replica);
    assert_eq!(harness.response(&accepted), Some(SubmitResponse::Accepted));
}

#[test]
fn a_forwarder_that_is_elected_again_waits_for_its_own_call_and_records_its_outcome() {
    let (harness, mut replica) = leading();
    let response = harness.submit("a", CHARGE);
    harness.commit_next(own_group(1), &mut replica);
    assert_eq!(harness.response(&response), Some(SubmitResponse::Accepted));
    let call = harness.next_call();
    harness.group_event(GroupEvent::Deposed {
        group: own_group(1),
    });
    harness.elect(own_group(1), &replica);
    harness.expect_no_call();
    assert!(
        harness.notices.is_empty(),
        "a non-idempotent event whose call is in flight here has no outcome yet"
    );
    call.respond(OK);
    harness.next_proposal(own_group(1), &mut replica);
    assert!(replica.is_empty());
}

/// Guards the order of a key whose clients now submit to this process while the successor of the
/// key's first owner still has events of the key.
#[test]
fn an_event_whose_order_key_is_pending_at_a_lost_owner_is_rejected_until_the_key_has_completed() {
    let (harness, mut replica) = leading();
    let other = Incarnation(8);
    let peer = |up| GroupEvent::PeerChanged {
        name: InstanceName("b".into()),
        incarnation: other,
        reachable: up,
    };
    harness.group_event(peer(true));
    let mut machine = harness.replicas.new_state_machine();
    let mut record = EventTable::default();
    record.accept(accepted_event("there", "job"));
    machine.apply(
        other,
        Term(2),
        &encode_command(peer_group(1), &record.take_unwritten_frames()),
    );
    let response = harness.submit("a", JOB);
    harness.commit_next(own_group(1), &mut replica);
    assert_eq!(
        harness.response(&response),
        Some(SubmitResponse::Accepted),
        "the owner is reachable and completes its own events"
    );
    harness.group_event(peer(false));
    assert_eq!(
        harness.response(&harness.submit("b", JOB)),
        Some(SubmitResponse::Rejected(None))
    );
    // Another process is the successor; the return of the first owner changes nothing.
    record.record_attempt("there", 1.0, "z");
    machine.apply(
        Incarnation(9),
        Term(3),
        &encode_command(peer_group(1), &record.take_unwritten_frames()),
    );
    harness.group_event(peer(true));
    assert_eq!(
        harness.response(&harness.submit("c", JOB)),
        Some(SubmitResponse::Rejected(None))
    );
    record.complete("there");
    machine.apply(
        Incarnation(9),
        Term(3),
        &encode_command(peer_group(1), &record.take_unwritten_frames()),
    );
    harness.next_call().respond(OK);
    harness.commit_next(own_group(1), &mut replica);
    let response = harness.submit("d", JOB);
    harness.commit_next(own_group(1), &mut replica);
    assert_eq!(harness.response(&response), Some(SubmitResponse::Accepted));
}

/// A cancellation waits for no majority, although another iteration's records may wait for a long
/// time.
#[test]
fn a_call_is_cancelled_while_an_iteration_waits_for_its_commit() {
    let mut target = BlockedTarget::new();
    target.fill_backlog();
    let harness = Harness::with_target(target.address(), std::sync::mpsc::channel().1, |_| ());
    harness.expect_request(|order| matches!(order, GroupRequest::Create { .. }));
    harness.elect_own_group();
    let mut replica = EventTable::default();
    harness.submit("a", CHARGE);
    harness.commit_next(own_group(1), &mut replica);
    harness.until("the call connects", || {
        target.has_pending_connect().then_some(())
    });
    harness.submit("b", JOB);
    harness.next_proposal(own_group(1), &mut replica);
    let mut page = config::config(target.address()).1;
    page["members"][0]["phase"] = "draining".into();
    harness.input(Input::EndpointPage(page));
    harness.run_pending_iterations();
    assert!(!target.has_pending_connect(), "the target is draining");
}
