//! Reports are ordered by `sequence`, an ended target stays ended, an address has one owner.

mod common;

use common::{apply, draining, target};
use plankhill_control::{ControlState, Duty, ExpiredTarget, Operation, Outcome};
use plankhill_protocol::ids::InstanceId;
use plankhill_protocol::tables::{Target, TargetState};

fn set(state: &mut ControlState, target: Target) -> Outcome {
    apply(state, &Operation::SetTarget(target))
}

fn expire(view: u64, id: &str, sequence: u64) -> Operation {
    let expired = ExpiredTarget {
        id: InstanceId::from(id),
        sequence,
    };
    Operation::Duty {
        view,
        duty: Duty::ExpireTargets(vec![expired]),
    }
}

fn state_of(state: &ControlState, id: &str) -> Option<TargetState> {
    state
        .targets()
        .get(&InstanceId::from(id))
        .map(|target| target.state)
}

#[test]
fn a_late_report_changes_nothing() {
    let mut state = ControlState::default();
    set(&mut state, target("t1", 80, 1));
    assert_eq!(set(&mut state, draining("t1", 80, 5)), Outcome::Applied);
    assert_eq!(set(&mut state, target("t1", 80, 4)), Outcome::Ignored);
    assert_eq!(state_of(&state, "t1"), Some(TargetState::Draining));
}

#[test]
fn a_report_without_news_is_known() {
    let mut state = ControlState::default();
    set(&mut state, target("t1", 80, 1));
    assert!(state.targets().is_known(&Target {
        warm_up_remaining_ms: 700,
        ..target("t1", 80, 2)
    }));
    assert!(!state.targets().is_known(&draining("t1", 80, 3)));
}

#[test]
fn an_ended_target_is_not_raised_again() {
    let mut state = ControlState::default();
    set(&mut state, target("t1", 80, 1));
    let remove = Operation::RemoveTarget(InstanceId::from("t1"));
    assert_eq!(apply(&mut state, &remove), Outcome::Applied);
    assert_eq!(apply(&mut state, &remove), Outcome::Repeated);
    assert_eq!(set(&mut state, target("t1", 80, 9)), Outcome::Ignored);
    assert!(state.targets().is_empty());
}

#[test]
fn a_target_that_ends_before_its_first_report_arrives_is_not_raised() {
    let mut state = ControlState::default();
    apply(&mut state, &Operation::RemoveTarget(InstanceId::from("t1")));
    assert_eq!(set(&mut state, target("t1", 80, 1)), Outcome::Ignored);
}

#[test]
fn an_expired_target_registers_again() {
    let mut state = ControlState::default();
    set(&mut state, target("t1", 80, 1));
    assert_eq!(apply(&mut state, &expire(1, "t1", 1)), Outcome::Applied);
    assert!(state.targets().is_empty());
    assert_eq!(set(&mut state, target("t1", 80, 7)), Outcome::Applied);
}

#[test]
fn a_target_that_changed_meanwhile_is_not_expired() {
    let mut state = ControlState::default();
    set(&mut state, target("t1", 80, 1));
    set(&mut state, draining("t1", 80, 2));
    assert_eq!(apply(&mut state, &expire(1, "t1", 1)), Outcome::Ignored);
    assert_eq!(state.targets().len(), 1);
}

#[test]
fn a_former_head_expires_nothing() {
    let mut state = ControlState::default();
    set(&mut state, target("t1", 80, 1));
    apply(&mut state, &expire(4, "other", 1));
    assert_eq!(apply(&mut state, &expire(3, "t1", 1)), Outcome::Fenced);
    assert_eq!(state.targets().len(), 1);
}

#[test]
fn an_address_belongs_to_the_target_that_reported_it_last() {
    let mut state = ControlState::default();
    set(&mut state, target("t1", 80, 1));
    set(&mut state, target("t2", 80, 1));
    assert_eq!(state.targets().len(), 1);
    assert!(state.targets().get(&InstanceId::from("t2")).is_some());
}

#[test]
fn ids_of_ended_targets_are_bounded() {
    let mut state = ControlState::default();
    for number in 0..5_000 {
        apply(
            &mut state,
            &Operation::RemoveTarget(InstanceId::from(format!("t{number}").as_str())),
        );
    }
    assert!(!state.targets().has_ended(&InstanceId::from("t0")));
    assert!(state.targets().has_ended(&InstanceId::from("t4999")));
}
