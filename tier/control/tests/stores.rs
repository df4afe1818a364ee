//! Tests of the transition from one set of stores to the next.

mod common;

use std::collections::BTreeSet;

use common::{apply, register, remove_lost_store, store, synced, three_stores};
use plankhill_control::{ControlState, Operation, Outcome, Retirement, SingletonTask};
use plankhill_protocol::ids::{Incarnation, NodeId};
use plankhill_protocol::tables::{StoreMember, StoreView};

fn names(members: &[StoreMember]) -> Vec<&str> {
    members.iter().map(|member| member.node.as_str()).collect()
}

fn next_names(state: &ControlState) -> Option<Vec<&str>> {
    state.stores().view().next.as_deref().map(names)
}

fn epoch(state: &ControlState) -> u64 {
    state.stores().view().epoch.0
}

fn sync_all(state: &mut ControlState) {
    let members = state.stores().view().next.clone().unwrap();
    let epoch = epoch(state);
    for member in &members {
        assert_eq!(apply(state, &synced(member, epoch)), Outcome::Applied);
    }
}

#[test]
fn the_first_stores_serve_once_2f_plus_1_have_registered() {
    let mut state = ControlState::default();
    apply(&mut state, &register(&store("s1", 1)));
    apply(&mut state, &register(&store("s2", 2)));
    assert!(state.stores().view().serving.is_empty());
    apply(&mut state, &register(&store("s3", 3)));
    assert_eq!(names(&state.stores().view().serving), ["s1", "s2", "s3"]);
    assert_eq!((epoch(&state), next_names(&state)), (1, None));
}

#[test]
fn fewer_stores_bootstrap_only_with_a_quorum() {
    let bootstrap = Operation::SingletonTask {
        view: 1,
        task: SingletonTask::BootstrapStores,
    };
    let mut state = ControlState::default();
    apply(&mut state, &register(&store("s1", 1)));
    assert_eq!(apply(&mut state, &bootstrap), Outcome::Ignored);
    apply(&mut state, &register(&store("s2", 2)));
    assert_eq!(apply(&mut state, &bootstrap), Outcome::Applied);
    assert_eq!(names(&state.stores().view().serving), ["s1", "s2"]);
}

#[test]
fn a_new_store_serves_once_all_have_synced() {
    let (mut state, _) = three_stores();
    apply(&mut state, &register(&store("s4", 4)));
    assert_eq!(next_names(&state).unwrap(), ["s1", "s2", "s3", "s4"]);
    assert_eq!(epoch(&state), 2);
    sync_all(&mut state);
    assert_eq!(
        names(&state.stores().view().serving),
        ["s1", "s2", "s3", "s4"]
    );
    assert_eq!((epoch(&state), next_names(&state)), (3, None));
}

#[test]
fn a_new_incarnation_replaces_the_former_one() {
    let (mut state, _) = three_stores();
    apply(&mut state, &register(&store("s2", 22)));
    assert_eq!(next_names(&state).unwrap(), ["s1", "s2", "s3"]);
    assert_eq!(state.stores().view().serving[1].incarnation, Incarnation(2));
    sync_all(&mut state);
    assert_eq!(
        state.stores().view().serving[1].incarnation,
        Incarnation(22)
    );
}

#[test]
fn a_synced_report_for_an_earlier_epoch_is_ignored() {
    let (mut state, members) = three_stores();
    apply(&mut state, &register(&store("s4", 4)));
    assert_eq!(apply(&mut state, &synced(&members[0], 2)), Outcome::Applied);
    apply(&mut state, &register(&store("s5", 5)));
    assert_eq!(apply(&mut state, &synced(&members[1], 2)), Outcome::Ignored);
    assert_eq!(state.stores().synced_members().count(), 0);
}

#[test]
fn an_unchanged_registration_of_a_store_is_ignored() {
    let (mut state, members) = three_stores();
    assert_eq!(apply(&mut state, &register(&members[0])), Outcome::Ignored);
    assert_eq!(epoch(&state), 1);
}

#[test]
fn the_same_incarnation_at_another_address_need_not_sync() {
    let (mut state, members) = three_stores();
    let moved = StoreMember {
        address: ([10, 9, 9, 9], 7001).into(),
        ..members[1].clone()
    };
    assert_eq!(apply(&mut state, &register(&moved)), Outcome::Applied);
    assert_eq!(state.stores().view().serving[1].address, moved.address);
    assert_eq!((epoch(&state), next_names(&state)), (2, None));
}

#[test]
fn a_retirement_completes_once_the_others_have_synced() {
    let (mut state, members) = three_stores();
    let s1 = members[0].node.clone();
    apply(&mut state, &register(&store("s4", 4)));
    sync_all(&mut state);
    assert_eq!(
        apply(&mut state, &Operation::RetireStore(s1.clone())),
        Outcome::Applied
    );
    assert_eq!(
        apply(&mut state, &Operation::RetireStore(s1.clone())),
        Outcome::Duplicate
    );
    let progress = |state: &ControlState| state.retirements().progress(&s1, state.stores());
    assert_eq!(progress(&state), Some(Retirement::InProgress));
    sync_all(&mut state);
    assert_eq!(progress(&state), Some(Retirement::Completed));
    assert_eq!(names(&state.stores().view().serving), ["s2", "s3", "s4"]);
}

#[test]
fn a_retired_store_is_not_registered_again() {
    let (mut state, members) = three_stores();
    apply(&mut state, &register(&store("s4", 4)));
    sync_all(&mut state);
    apply(&mut state, &Operation::RetireStore(members[0].node.clone()));
    assert_eq!(
        apply(&mut state, &register(&store("s1", 11))),
        Outcome::Ignored
    );
    sync_all(&mut state);
    assert_eq!(apply(&mut state, &register(&members[0])), Outcome::Ignored);
    assert_eq!(next_names(&state), None);
}

#[test]
fn a_retirement_that_leaves_too_few_stores_is_rejected() {
    let (mut state, members) = three_stores();
    let unknown = Operation::RetireStore(NodeId::from("nobody"));
    assert_eq!(apply(&mut state, &unknown), Outcome::UnknownStore);
    let known = Operation::RetireStore(members[0].node.clone());
    assert_eq!(apply(&mut state, &known), Outcome::TooFewStores);
    assert_eq!(
        state
            .retirements()
            .progress(&members[0].node, state.stores()),
        None
    );
}

#[test]
fn a_joining_store_that_is_lost_is_removed() {
    let (mut state, _) = three_stores();
    apply(&mut state, &register(&store("s4", 4)));
    assert_eq!(
        apply(&mut state, &remove_lost_store(&store("s4", 4))),
        Outcome::Applied
    );
    assert_eq!((epoch(&state), next_names(&state)), (3, None));
}

#[test]
fn a_lost_store_is_removed_once_its_successor_joins() {
    let (mut state, members) = three_stores();
    assert_eq!(
        apply(&mut state, &remove_lost_store(&members[2])),
        Outcome::Ignored
    );
    apply(&mut state, &register(&store("s4", 4)));
    assert_eq!(
        apply(&mut state, &remove_lost_store(&members[2])),
        Outcome::Applied
    );
    assert_eq!(next_names(&state).unwrap(), ["s1", "s2", "s4"]);
    sync_all(&mut state);
    assert_eq!(names(&state.stores().view().serving), ["s1", "s2", "s4"]);
}

#[test]
fn a_lost_new_incarnation_leaves_the_serving_set_unchanged() {
    let (mut state, members) = three_stores();
    apply(&mut state, &register(&store("s3", 33)));
    assert_eq!(
        apply(&mut state, &remove_lost_store(&store("s3", 33))),
        Outcome::Applied
    );
    assert_eq!(next_names(&state), None);
    assert_eq!(state.stores().view().serving[2], members[2]);
}

/// Checks the effect of one operation: if the serving set changed, it became the previous next set, of
/// which all members but at most one had synced in the epoch before the operation.
fn check_step(before: &StoreView, synced: &BTreeSet<NodeId>, after: &StoreView, outcome: Outcome) {
    assert!(after.epoch >= before.epoch);
    if outcome != Outcome::Applied {
        assert_eq!(before.epoch, after.epoch);
    }
    if before.serving.is_empty() || before.serving == after.serving {
        return;
    }
    let next = before
        .next
        .as_ref()
        .expect("the serving set changes only to a next set");
    assert_eq!(after.serving, *next);
    assert!(after.epoch > before.epoch);
    let others = next
        .iter()
        .filter(|member| !synced.contains(&member.node))
        .count();
    assert!(
        others <= 1,
        "all but the last reporting member had synced before"
    );
    assert!(next.len() > after.tolerated_faults as usize);
}

#[test]
fn a_store_serves_only_after_it_has_synced() {
    arbtest::arbtest(|random| {
        let mut state = ControlState::default();
        for _ in 0..random.int_in_range(1..=60)? {
            let name = ["s1", "s2", "s3", "s4", "s5"][random.int_in_range(0..=4)?];
            let member = store(name, random.int_in_range(1..=2)?);
            let stale = random.int_in_range(0..=1)?;
            let operation = match random.int_in_range(0..=9)? {
                0..=2 => register(&member),
                3..=7 => synced(&member, epoch(&state).saturating_sub(stale)),
                8 => remove_lost_store(&member),
                _ => Operation::RetireStore(member.node.clone()),
            };
            let before = state.stores().view().clone();
            let synced_before: BTreeSet<NodeId> =
                state.stores().synced_members().cloned().collect();
            let outcome = apply(&mut state, &operation);
            check_step(&before, &synced_before, state.stores().view(), outcome);
            if state.stores().view().serving != before.serving && !before.serving.is_empty() {
                assert!(
                    matches!(operation, Operation::StoreSynced { epoch, .. } if epoch == before.epoch)
                );
            }
        }
        Ok(())
    });
}
