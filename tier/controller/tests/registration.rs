//! A subscriber is registered again if it was forgotten, but never in place of a later life.

mod common;

use common::{edge, register, store, MemoryLog};
use plankhill_control::{Duty, Operation};
use plankhill_controller::feed::{other_lives, should_register};
use plankhill_protocol::feed::Subscriber;
use plankhill_protocol::ids::Incarnation;

fn three_stores() -> MemoryLog {
    let log = MemoryLog::new();
    for number in 1..=3 {
        log.commit(&register(&store(&format!("s{number}"), number)));
    }
    log
}

#[test]
fn a_new_life_registers_in_place_of_the_former_one_and_again_when_it_was_dropped() {
    let log = three_stores();
    let subscriber = Subscriber::Store(store("s3", 33));
    let former = other_lives(&log.control(), &subscriber);
    assert_eq!(former, [Incarnation(3)]);
    assert!(should_register(&log.control(), &subscriber, &former));
    log.commit(&register(&store("s3", 33)));
    assert!(!should_register(&log.control(), &subscriber, &former));
    let member = store("s3", 33);
    let duty = Duty::DropStore {
        node: member.node,
        incarnation: member.incarnation,
    };
    log.commit(&Operation::Duty { view: 1, duty });
    assert!(should_register(&log.control(), &subscriber, &former));
}

#[test]
fn a_former_life_does_not_come_back_in_place_of_a_later_one() {
    let log = three_stores();
    let subscriber = Subscriber::Store(store("s3", 3));
    let former = other_lives(&log.control(), &subscriber);
    log.commit(&register(&store("s3", 33)));
    assert!(!should_register(&log.control(), &subscriber, &former));
}

#[test]
fn an_edge_that_was_forgotten_registers_again() {
    let log = MemoryLog::new();
    let subscriber = Subscriber::Edge(edge("e", 1));
    assert!(should_register(&log.control(), &subscriber, &[]));
    log.commit(&Operation::SetEdge(edge("e", 1)));
    assert!(!should_register(&log.control(), &subscriber, &[]));
    log.commit(&Operation::SetEdge(edge("e", 2)));
    assert!(!should_register(&log.control(), &subscriber, &[]));
    assert!(!should_register(&log.control(), &Subscriber::Proxy, &[]));
}
