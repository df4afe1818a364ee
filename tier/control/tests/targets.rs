//! Tests that reports are ordered by `sequence`, that a deregistered target stays deregistered, and
//! that an address belongs to one target.

mod common;

use common::{apply, draining, target};
use plankhill_control::{ControlState, ExpiredTarget, Operation, Outcome, SingletonTask};
use plankhill_protocol::ids::InstanceId;
use plankhill_protocol::tables::{Target, TargetState};

fn register(state: &mut ControlState, target: Target) -> Outcome {
    apply(state, &Operation::RegisterTarget(target))
}

fn expire(view: u64, id: &str, sequence: u64) -> Operation {
    let expired = ExpiredTarget {
        id: InstanceId::from(id),
        sequence,
    };
    Operation::SingletonTask {
        view,
        task: SingletonTask::ExpireTargets(vec![expired]),
    }
}

fn state_of(state: &ControlState, id: &str) -> Option<TargetState> {
    state
        .targets()
        .get(&InstanceId::from(id))
        .map(|target| target.state)
}

#[test]
fn a_report_with_an_older_sequence_is_ignored() {
    let mut state = ControlState::default();
    register(&mut state, target("t1", 80, 1));
    assert_eq!(
        register(&mut state, draining("t1", 80, 5)),
        Outcome::Applied
    );
    assert_eq!(register(&mut state, target("t1", 80, 4)), Outcome::Ignored);
    assert_eq!(state_of(&state, "t1"), Some(TargetState::Draining));
}

#[test]
fn a_report_that_changes_only_its_sequence_is_up_to_date() {
    let mut state = ControlState::default();
    register(&mut state, target("t1", 80, 1));
    assert!(state.targets().is_up_to_date(&Target {
        warm_up_remaining_ms: 700,
        ..target("t1", 80, 2)
    }));
    assert!(!state.targets().is_up_to_date(&draining("t1", 80, 3)));
}

#[test]
fn a_deregistered_target_is_not_registered_again() {
    let mut state = ControlState::default();
    register(&mut state, target("t1", 80, 1));
    let remove = Operation::DeregisterTarget(InstanceId::from("t1"));
    assert_eq!(apply(&mut state, &remove), Outcome::Applied);
    assert_eq!(apply(&mut state, &remove), Outcome::Duplicate);
    assert_eq!(register(&mut state, target("t1", 80, 9)), Outcome::Ignored);
    assert!(state.targets().is_empty());
}

#[test]
fn a_target_deregistered_before_its_first_report_is_not_registered() {
    let mut state = ControlState::default();
    apply(
        &mut state,
        &Operation::DeregisterTarget(InstanceId::from("t1")),
    );
    assert_eq!(register(&mut state, target("t1", 80, 1)), Outcome::Ignored);
}

#[test]
fn an_expired_target_registers_again() {
    let mut state = ControlState::default();
    register(&mut state, target("t1", 80, 1));
    assert_eq!(apply(&mut state, &expire(1, "t1", 1)), Outcome::Applied);
    assert!(state.targets().is_empty());
    assert_eq!(register(&mut state, target("t1", 80, 7)), Outcome::Applied);
}

#[test]
fn a_target_with_a_newer_sequence_does_not_expire() {
    let mut state = ControlState::default();
    register(&mut state, target("t1", 80, 1));
    register(&mut state, draining("t1", 80, 2));
    assert_eq!(apply(&mut state, &expire(1, "t1", 1)), Outcome::Ignored);
    assert_eq!(state.targets().len(), 1);
}

#[test]
fn a_singleton_task_of_a_previous_head_is_fenced() {
    let mut state = ControlState::default();
    register(&mut state, target("t1", 80, 1));
    apply(&mut state, &expire(4, "other", 1));
    assert_eq!(apply(&mut state, &expire(3, "t1", 1)), Outcome::Fenced);
    assert_eq!(state.targets().len(), 1);
}

#[test]
fn an_address_belongs_to_the_target_that_reported_it_last() {
    let mut state = ControlState::default();
    register(&mut state, target("t1", 80, 1));
    register(&mut state, target("t2", 80, 1));
    assert_eq!(state.targets().len(), 1);
    assert!(state.targets().get(&InstanceId::from("t2")).is_some());
}

#[test]
fn remembered_ids_of_deregistered_targets_are_bounded() {
    let mut state = ControlState::default();
    for number in 0..5_000 {
        apply(
            &mut state,
            &Operation::DeregisterTarget(InstanceId::from(format!("t{number}").as_str())),
        );
    }
    assert!(!state.targets().is_deregistered(&InstanceId::from("t0")));
    assert!(state.targets().is_deregistered(&InstanceId::from("t4999")));
}
