//! The bytes of operations, outcomes and the control state, as the chain stores them and sends them to other
//! controllers. The fixtures were written once by the text that was in service; a change that moves a variant or a
//! field no longer gives these bytes.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;

use common::{apply, pinned};
use plankhill_control::{ControlState, DrainOrder, Duty, ExpiredTarget, Operation, Outcome};
use plankhill_protocol::ids::{Incarnation, InstanceId, NodeId, ServiceName, StoreEpoch, ZoneName};
use plankhill_protocol::tables::{Edge, ServedModel, StoreMember, Target, TargetState};

const OPERATIONS: &str = include_str!("stored_format/operations.txt");
const OUTCOMES: &str = include_str!("stored_format/outcomes.txt");
const STATES: &str = include_str!("stored_format/states.txt");

fn target(id: &str, port: u16, state: TargetState) -> Target {
    Target {
        id: InstanceId::from(id),
        service: ServiceName::from("tools"),
        address: SocketAddr::from(([10, 0, 0, 9], port)),
        zone: ZoneName::from("north"),
        capacity: 300,
        state,
        sequence: 70_000,
        warm_up_remaining_ms: 1_500,
        models: vec![ServedModel {
            name: "large".to_owned(),
            version: 3,
        }],
    }
}

fn edge(node: &str, zone: &str) -> Edge {
    Edge {
        node: NodeId::from(node),
        incarnation: Incarnation(0x0102_0304_0506_0708),
        address: SocketAddr::from(([0xfd00, 0, 0, 0, 0, 0, 0, 7], 7_002)),
        zone: ZoneName::from(zone),
    }
}

fn store(node: &str, incarnation: u64) -> StoreMember {
    StoreMember {
        node: NodeId::from(node),
        incarnation: Incarnation(incarnation),
        address: SocketAddr::from(([10, 0, 0, 3], 7_001)),
        zone: ZoneName::from("south"),
    }
}

fn put(expected: u64, version: u64, document: &str) -> Operation {
    Operation::PutConfiguration {
        expected,
        version,
        document: Arc::from(document.as_bytes()),
    }
}

fn duty(duty: Duty) -> Operation {
    Operation::Duty { view: 9, duty }
}

/// The name of an operation in the fixture. A new variant does not compile before it has a name here; it also gets a
/// value in [`operations`] and a line in the fixture.
fn operation_name(operation: &Operation) -> &'static str {
    match operation {
        Operation::PutConfiguration { .. } => "PutConfiguration",
        Operation::SetTarget(_) => "SetTarget",
        Operation::RemoveTarget(_) => "RemoveTarget",
        Operation::SetEdge(_) => "SetEdge",
        Operation::RemoveEdge { .. } => "RemoveEdge",
        Operation::RegisterStore { .. } => "RegisterStore",
        Operation::StoreSynced { .. } => "StoreSynced",
        Operation::RetireStore(_) => "RetireStore",
        Operation::OrderDrain(_) => "OrderDrain",
        Operation::EdgeEmptied { .. } => "EdgeEmptied",
        Operation::Duty { view: _, duty } => match duty {
            Duty::ExpireTargets(_) => "Duty.ExpireTargets",
            Duty::ForgetEdge { .. } => "Duty.ForgetEdge",
            Duty::FoundStores => "Duty.FoundStores",
            Duty::DropStore { .. } => "Duty.DropStore",
        },
    }
}

fn operations() -> Vec<Operation> {
    let drained = DrainOrder {
        expected: 5,
        nodes: vec![NodeId::from("edge-1"), NodeId::from("edge-2")],
        leave: true,
    };
    vec![
        put(300, 301, r#"{"version":301}"#),
        Operation::SetTarget(target("i-1", 8_080, TargetState::Draining)),
        Operation::RemoveTarget(InstanceId::from("i-1")),
        Operation::SetEdge(edge("edge-1", "north")),
        Operation::RemoveEdge {
            node: NodeId::from("edge-1"),
            incarnation: Incarnation(77),
        },
        Operation::RegisterStore {
            member: store("store-1", 66),
            faults: 2,
        },
        Operation::StoreSynced {
            node: NodeId::from("store-1"),
            incarnation: Incarnation(66),
            epoch: StoreEpoch(12),
        },
        Operation::RetireStore(NodeId::from("store-1")),
        Operation::OrderDrain(drained),
        Operation::EdgeEmptied {
            node: NodeId::from("edge-1"),
            number: 6,
        },
        duty(Duty::ExpireTargets(vec![ExpiredTarget {
            id: InstanceId::from("i-1"),
            sequence: 70_000,
        }])),
        duty(Duty::ForgetEdge {
            node: NodeId::from("edge-1"),
            incarnation: Incarnation(77),
        }),
        duty(Duty::FoundStores),
        duty(Duty::DropStore {
            node: NodeId::from("store-1"),
            incarnation: Incarnation(66),
        }),
    ]
}

/// The name of an outcome in the fixture; see [`operation_name`].
fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Applied => "Applied",
        Outcome::Repeated => "Repeated",
        Outcome::Ignored => "Ignored",
        Outcome::Conflict { .. } => "Conflict",
        Outcome::NotAbove { .. } => "NotAbove",
        Outcome::UnknownStore => "UnknownStore",
        Outcome::TooFewStores => "TooFewStores",
        Outcome::UnknownEdge => "UnknownEdge",
        Outcome::TooFewEdges => "TooFewEdges",
        Outcome::Full => "Full",
        Outcome::Fenced => "Fenced",
        Outcome::Forgotten => "Forgotten",
    }
}

fn outcomes() -> Vec<Outcome> {
    vec![
        Outcome::Applied,
        Outcome::Repeated,
        Outcome::Ignored,
        Outcome::Conflict { current: 300 },
        Outcome::NotAbove { current: 301 },
        Outcome::UnknownStore,
        Outcome::TooFewStores,
        Outcome::UnknownEdge,
        Outcome::TooFewEdges,
        Outcome::Full,
        Outcome::Fenced,
        Outcome::Forgotten,
    ]
}

fn state_after(operations: &[Operation]) -> ControlState {
    let mut state = ControlState::default();
    for operation in operations {
        assert_eq!(
            apply(&mut state, operation),
            Outcome::Applied,
            "{operation:?}"
        );
    }
    state
}

/// Before the first view of the stores: one store waits.
fn founding() -> ControlState {
    state_after(&[Operation::RegisterStore {
        member: store("store-1", 61),
        faults: 1,
    }])
}

/// Every field of the state differs from its default: a set of stores takes over from another, a target ended, a store
/// was retired, edges are out of service.
fn complete() -> ControlState {
    let register = |node, incarnation| Operation::RegisterStore {
        member: store(node, incarnation),
        faults: 1,
    };
    let synced = |node: &str, incarnation, epoch| Operation::StoreSynced {
        node: NodeId::from(node),
        incarnation: Incarnation(incarnation),
        epoch: StoreEpoch(epoch),
    };
    let drained = DrainOrder {
        expected: 0,
        nodes: vec![NodeId::from("edge-1")],
        leave: true,
    };
    state_after(&[
        put(0, 300, r#"{"version":300}"#),
        put(300, 301, r#"{"version":301}"#),
        Operation::SetTarget(target("i-1", 8_080, TargetState::Healthy)),
        Operation::SetTarget(target("i-2", 8_081, TargetState::Draining)),
        Operation::RemoveTarget(InstanceId::from("i-2")),
        Operation::SetEdge(edge("edge-1", "north")),
        Operation::SetEdge(edge("edge-2", "north")),
        register("store-1", 61),
        register("store-2", 62),
        register("store-3", 63),
        register("store-4", 64),
        synced("store-1", 61, 2),
        synced("store-2", 62, 2),
        synced("store-3", 63, 2),
        synced("store-4", 64, 2),
        Operation::RetireStore(NodeId::from("store-1")),
        synced("store-2", 62, 4),
        Operation::OrderDrain(drained),
        Operation::EdgeEmptied {
            node: NodeId::from("edge-1"),
            number: 1,
        },
        duty(Duty::ExpireTargets(vec![ExpiredTarget {
            id: InstanceId::from("i-1"),
            sequence: 70_000,
        }])),
        Operation::SetTarget(target("i-3", 8_082, TargetState::Healthy)),
    ])
}

/// A configuration that is long enough to be stored compressed.
fn with_long_configuration() -> ControlState {
    state_after(&[put(
        0,
        7,
        &format!(r#"{{"version":7,"note":"{}"}}"#, "plankhill ".repeat(200)),
    )])
}

#[test]
fn operations_keep_their_stored_bytes() {
    let values = operations()
        .into_iter()
        .map(|operation| (operation_name(&operation), operation));
    pinned(OPERATIONS, values.collect());
}

#[test]
fn outcomes_keep_their_stored_bytes() {
    let values = outcomes()
        .into_iter()
        .map(|outcome| (outcome_name(outcome), outcome));
    pinned(OUTCOMES, values.collect());
}

#[test]
fn the_control_state_keeps_the_bytes_of_its_snapshot() {
    let values = vec![
        ("empty", ControlState::default()),
        ("founding", founding()),
        ("complete", complete()),
        ("with_long_configuration", with_long_configuration()),
    ];
    pinned(STATES, values);
}
