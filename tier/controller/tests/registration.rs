//! Tests that a removed subscriber is registered again, but never replaces a later incarnation.

mod common;

use common::{edge, register_store, store, MemoryLog};
use plankhill_control::{Operation, SingletonTask};
use plankhill_controller::feed::{needs_registration, other_incarnations};
use plankhill_protocol::feed::Subscriber;
use plankhill_protocol::ids::Incarnation;

fn log_with_three_stores() -> MemoryLog {
    let log = MemoryLog::new();
    for number in 1..=3 {
        log.commit(&register_store(&store(&format!("s{number}"), number)));
    }
    log
}

#[test]
fn a_new_incarnation_replaces_the_former_one_and_registers_again_when_removed() {
    let log = log_with_three_stores();
    let subscriber = Subscriber::Store(store("s3", 33));
    let former = other_incarnations(&log.control_state(), &subscriber);
    assert_eq!(former, [Incarnation(3)]);
    assert!(needs_registration(
        &log.control_state(),
        &subscriber,
        &former
    ));
    log.commit(&register_store(&store("s3", 33)));
    assert!(!needs_registration(
        &log.control_state(),
        &subscriber,
        &former
    ));
    let member = store("s3", 33);
    let task = SingletonTask::RemoveLostStore {
        node: member.node,
        incarnation: member.incarnation,
    };
    log.commit(&Operation::SingletonTask { view: 1, task });
    assert!(needs_registration(
        &log.control_state(),
        &subscriber,
        &former
    ));
}

#[test]
fn a_former_incarnation_does_not_replace_a_later_one() {
    let log = log_with_three_stores();
    let subscriber = Subscriber::Store(store("s3", 3));
    let former = other_incarnations(&log.control_state(), &subscriber);
    log.commit(&register_store(&store("s3", 33)));
    assert!(!needs_registration(
        &log.control_state(),
        &subscriber,
        &former
    ));
}

#[test]
fn an_expired_edge_registers_again() {
    let log = MemoryLog::new();
    let subscriber = Subscriber::Edge(edge("e", 1));
    assert!(needs_registration(&log.control_state(), &subscriber, &[]));
    log.commit(&Operation::RegisterEdge(edge("e", 1)));
    assert!(!needs_registration(&log.control_state(), &subscriber, &[]));
    log.commit(&Operation::RegisterEdge(edge("e", 2)));
    assert!(!needs_registration(&log.control_state(), &subscriber, &[]));
    assert!(!needs_registration(
        &log.control_state(),
        &Subscriber::Proxy,
        &[]
    ));
}
