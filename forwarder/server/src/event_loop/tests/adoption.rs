//! Adoption of a group's event log by its new leader.

use plankhill_event_log::{EventTable, Outcome};
use plankhill_hot_restart::SubmitResponse;
use plankhill_raft_groups::{GroupEvent, GroupRequest};

use super::fake_raft::{own_group, peer_group};
use super::{accepted_event, Harness, CHARGE, JOB, OK, STALL};
use crate::messages::Input;

fn table(records: impl FnOnce(&mut EventTable)) -> EventTable {
    let mut table = EventTable::default();
    records(&mut table);
    table.take_unwritten_frames();
    table
}

#[test]
fn a_new_leader_sends_unattempted_events_once_committed_and_dissolves_the_empty_group() {
    let harness = Harness::new(|_| ());
    let mut replica = table(|table| table.accept(accepted_event("a", "job")));
    harness.elect(peer_group(1), &replica);
    let number = harness.next_proposal(peer_group(1), &mut replica);
    harness.expect_no_call();
    harness.group_event(GroupEvent::Committed {
        group: peer_group(1),
        number,
    });
    let call = harness.next_call();
    assert_eq!(call.id(), "a");
    call.respond(OK);
    harness.commit_next(peer_group(1), &mut replica);
    assert!(replica.is_empty());
    // The next iteration finds the group empty and no proposal undecided.
    harness.group_event(GroupEvent::Deposed {
        group: peer_group(9),
    });
    harness.expect_request(
        |order| matches!(order, GroupRequest::Dissolve { group } if *group == peer_group(1)),
    );
}

#[test]
fn a_non_idempotent_event_with_a_recorded_attempt_is_abandoned_and_never_sent_by_a_new_leader() {
    let harness = Harness::new(|_| ());
    let mut replica = table(|table| {
        table.accept(accepted_event("a", "charge"));
        table.record_attempt_with_timeout("a", 1.0, "z", 100.0);
    });
    harness.elect(peer_group(1), &replica);
    let number = harness.next_proposal(peer_group(1), &mut replica);
    assert_eq!(
        replica.pending_events()[0].outcome,
        Some((Outcome::Abandoned, None))
    );
    assert!(
        harness.notices.is_empty(),
        "the platform is not notified of an outcome before its commit"
    );
    harness.group_event(GroupEvent::Committed {
        group: peer_group(1),
        number,
    });
    let notice = harness.until("a notice", || harness.notices.try_recv().ok());
    assert_eq!(
        (&*notice.event.0, notice.outcome),
        ("a", Outcome::Abandoned)
    );
    harness.expect_no_call();
}

#[test]
fn an_event_in_flight_at_the_old_leader_and_the_next_of_its_key_wait_for_the_calls_end() {
    let harness = Harness::new(|_| ());
    let mut replica = table(|table| {
        table.accept(accepted_event("a", "job"));
        table.record_attempt_with_timeout("a", 1.0, "z", 200.0);
        table.accept(accepted_event("b", "job"));
    });
    let adopted = harness.clock.now();
    harness.elect(peer_group(1), &replica);
    harness.commit_next(peer_group(1), &mut replica);
    let call = harness.next_call();
    assert_eq!(call.id(), "a");
    assert!(harness.clock.now() - adopted >= 200.0 + 2.0 * STALL);
    call.respond(OK);
    harness.commit_next(peer_group(1), &mut replica);
    let call = harness.next_call();
    assert_eq!(call.id(), "b");
}

#[test]
fn an_outcome_in_an_adopted_log_is_notified_again_and_removed_once_acknowledged() {
    let harness = Harness::new(|_| ());
    let mut replica = table(|table| {
        table.accept(accepted_event("a", "job"));
        table.record_outcome("a", Outcome::Rejected, Some(500.0));
    });
    harness.elect(peer_group(1), &replica);
    let notice = harness.until("a notice", || harness.notices.try_recv().ok());
    assert_eq!(
        (notice.outcome, notice.retry_after),
        (Outcome::Rejected, Some(500.0))
    );
    harness.input(Input::NoticesAcknowledged(vec![notice.event]));
    harness.next_proposal(peer_group(1), &mut replica);
    assert!(replica.is_empty());
}

#[test]
fn an_id_pending_here_and_in_an_adopted_log_is_one_event_with_one_outcome() {
    let harness = Harness::new(|_| ());
    harness.elect_own_group();
    let (mut own_replica, mut peer_replica) = (
        EventTable::default(),
        table(|table| table.accept(accepted_event("a", "job"))),
    );
    let response = harness.submit("a", JOB);
    harness.commit_next(own_group(1), &mut own_replica);
    assert_eq!(harness.response(&response), Some(SubmitResponse::Accepted));
    let call = harness.next_call();
    harness.elect(peer_group(1), &peer_replica);
    harness.run_pending_iterations();
    call.respond(OK);
    harness.next_proposal(own_group(1), &mut own_replica);
    harness.next_proposal(peer_group(1), &mut peer_replica);
    assert!(
        own_replica.is_empty() && peer_replica.is_empty(),
        "the completion is recorded in both tables"
    );
    harness.expect_no_call();
}

#[test]
fn an_id_that_was_delivered_here_is_complete_in_an_adopted_log() {
    let harness = Harness::new(|_| ());
    harness.elect_own_group();
    let (mut own_replica, mut peer_replica) = (
        EventTable::default(),
        table(|table| table.accept(accepted_event("a", "charge"))),
    );
    harness.submit("a", CHARGE);
    harness.commit_next(own_group(1), &mut own_replica);
    harness.next_call().respond(OK);
    harness.commit_next(own_group(1), &mut own_replica);
    harness.elect(peer_group(1), &peer_replica);
    harness.next_proposal(peer_group(1), &mut peer_replica);
    assert!(peer_replica.is_empty());
    harness.expect_no_call();
}

#[test]
fn events_pending_in_the_state_folder_are_replicated_before_the_file_is_cleared_and_then_sent() {
    let harness = Harness::new(|ledger| ledger.accept(accepted_event("old", "job")));
    let length = || {
        std::fs::metadata(harness.folder.path().join("ledger"))
            .expect("the log file exists")
            .len()
    };
    let before = length();
    let mut replica = EventTable::default();
    harness.elect(own_group(1), &EventTable::default());
    let number = harness.next_proposal(own_group(1), &mut replica);
    assert_eq!(replica.event_ids().collect::<Vec<_>>(), ["old"]);
    assert_eq!(length(), before, "the events are not on a majority yet");
    harness.group_event(GroupEvent::Committed {
        group: own_group(1),
        number,
    });
    harness.commit_next(own_group(1), &mut replica);
    assert_eq!(harness.next_call().id(), "old");
    assert!(length() < before);
}
