//! Tests the encoding of operations, outcomes and the control state, which the chain stores and sends
//! to other controllers. The fixtures were written by a deployed version; a change that moves a
//! variant or a field no longer produces the same bytes.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;

use common::{apply, assert_matches_fixture};
use plankhill_control::{
    ControlState, DrainAction, DrainOrder, ExpiredTarget, Operation, Outcome, SingletonTask,
};
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

fn singleton(task: SingletonTask) -> Operation {
    Operation::SingletonTask { view: 9, task }
}

/// Returns the name of an operation in the fixture, which keeps the names that were in use when it was
/// written. The exhaustive match makes the compiler reject a new variant until it has a name here; it
/// also needs a value in [`operations`] and a line in the fixture.
fn operation_name(operation: &Operation) -> &'static str {
    match operation {
        Operation::PutConfiguration { .. } => "PutConfiguration",
        Operation::RegisterTarget(_) => "SetTarget",
        Operation::DeregisterTarget(_) => "RemoveTarget",
        Operation::RegisterEdge(_) => "SetEdge",
        Operation::DeregisterEdge { .. } => "RemoveEdge",
        Operation::RegisterStore { .. } => "RegisterStore",
        Operation::StoreSynced { .. } => "StoreSynced",
        Operation::RetireStore(_) => "RetireStore",
        Operation::OrderDrain(_) => "OrderDrain",
        Operation::EdgeDrained { .. } => "EdgeEmptied",
        Operation::SingletonTask { view: _, task } => match task {
            SingletonTask::ExpireTargets(_) => "Duty.ExpireTargets",
            SingletonTask::ExpireEdge { .. } => "Duty.ForgetEdge",
            SingletonTask::BootstrapStores => "Duty.FoundStores",
            SingletonTask::RemoveLostStore { .. } => "Duty.DropStore",
        },
    }
}

fn operations() -> Vec<Operation> {
    let drained = DrainOrder {
        expected: 5,
        nodes: vec![NodeId::from("edge-1"), NodeId::from("edge-2")],
        action: DrainAction::Drain,
    };
    vec![
        put(300, 301, r#"{"version":301}"#),
        Operation::RegisterTarget(target("i-1", 8_080, TargetState::Draining)),
        Operation::DeregisterTarget(InstanceId::from("i-1")),
        Operation::RegisterEdge(edge("edge-1", "north")),
        Operation::DeregisterEdge {
            node: NodeId::from("edge-1"),
            incarnation: Incarnation(77),
        },
        Operation::RegisterStore {
            member: store("store-1", 66),
            tolerated_faults: 2,
        },
        Operation::StoreSynced {
            node: NodeId::from("store-1"),
            incarnation: Incarnation(66),
            epoch: StoreEpoch(12),
        },
        Operation::RetireStore(NodeId::from("store-1")),
        Operation::OrderDrain(drained),
        Operation::EdgeDrained {
            node: NodeId::from("edge-1"),
            number: 6,
        },
        singleton(SingletonTask::ExpireTargets(vec![ExpiredTarget {
            id: InstanceId::from("i-1"),
            sequence: 70_000,
        }])),
        singleton(SingletonTask::ExpireEdge {
            node: NodeId::from("edge-1"),
            incarnation: Incarnation(77),
        }),
        singleton(SingletonTask::BootstrapStores),
        singleton(SingletonTask::RemoveLostStore {
            node: NodeId::from("store-1"),
            incarnation: Incarnation(66),
        }),
    ]
}

/// Returns the name of an outcome in the fixture; see [`operation_name`].
fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Applied => "Applied",
        Outcome::Duplicate => "Repeated",
        Outcome::Ignored => "Ignored",
        Outcome::Conflict { .. } => "Conflict",
        Outcome::VersionNotIncreasing { .. } => "NotAbove",
        Outcome::UnknownStore => "UnknownStore",
        Outcome::TooFewStores => "TooFewStores",
        Outcome::UnknownEdge => "UnknownEdge",
        Outcome::TooFewEdges => "TooFewEdges",
        Outcome::Full => "Full",
        Outcome::Fenced => "Fenced",
        Outcome::HistoryTrimmed => "Forgotten",
    }
}

fn outcomes() -> Vec<Outcome> {
    vec![
        Outcome::Applied,
        Outcome::Duplicate,
        Outcome::Ignored,
        Outcome::Conflict { current: 300 },
        Outcome::VersionNotIncreasing { current: 301 },
        Outcome::UnknownStore,
        Outcome::TooFewStores,
        Outcome::UnknownEdge,
        Outcome::TooFewEdges,
        Outcome::Full,
        Outcome::Fenced,
        Outcome::HistoryTrimmed,
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

/// Returns a state before the first view of the stores, with one bootstrap candidate.
fn founding() -> ControlState {
    state_after(&[Operation::RegisterStore {
        member: store("store-1", 61),
        tolerated_faults: 1,
    }])
}

/// Returns a state of which every field differs from its default: a transition between two sets of
/// stores is in progress, a target has deregistered, a store is retired, an edge is draining.
fn complete() -> ControlState {
    let register = |node, incarnation| Operation::RegisterStore {
        member: store(node, incarnation),
        tolerated_faults: 1,
    };
    let synced = |node: &str, incarnation, epoch| Operation::StoreSynced {
        node: NodeId::from(node),
        incarnation: Incarnation(incarnation),
        epoch: StoreEpoch(epoch),
    };
    let drained = DrainOrder {
        expected: 0,
        nodes: vec![NodeId::from("edge-1")],
        action: DrainAction::Drain,
    };
    state_after(&[
        put(0, 300, r#"{"version":300}"#),
        put(300, 301, r#"{"version":301}"#),
        Operation::RegisterTarget(target("i-1", 8_080, TargetState::Healthy)),
        Operation::RegisterTarget(target("i-2", 8_081, TargetState::Draining)),
        Operation::DeregisterTarget(InstanceId::from("i-2")),
        Operation::RegisterEdge(edge("edge-1", "north")),
        Operation::RegisterEdge(edge("edge-2", "north")),
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
        Operation::EdgeDrained {
            node: NodeId::from("edge-1"),
            number: 1,
        },
        singleton(SingletonTask::ExpireTargets(vec![ExpiredTarget {
            id: InstanceId::from("i-1"),
            sequence: 70_000,
        }])),
        Operation::RegisterTarget(target("i-3", 8_082, TargetState::Healthy)),
    ])
}

/// Returns a state with a configuration that is long enough to be stored compressed.
fn with_long_configuration() -> ControlState {
    state_after(&[put(
        0,
        7,
        &format!(r#"{{"version":7,"note":"{}"}}"#, "plankhill ".repeat(200)),
    )])
}

#[test]
fn operations_have_their_recorded_encoding() {
    let values = operations()
        .into_iter()
        .map(|operation| (operation_name(&operation), operation));
    assert_matches_fixture(OPERATIONS, values.collect());
}

#[test]
fn outcomes_have_their_recorded_encoding() {
    let values = outcomes()
        .into_iter()
        .map(|outcome| (outcome_name(outcome), outcome));
    assert_matches_fixture(OUTCOMES, values.collect());
}

#[test]
fn the_control_state_has_its_recorded_encoding() {
    let values = vec![
        ("empty", ControlState::default()),
        ("founding", founding()),
        ("complete", complete()),
        ("with_long_configuration", with_long_configuration()),
    ];
    assert_matches_fixture(STATES, values);
}

/// Earlier versions stored drain orders with a boolean `leave` in place of the action.
#[test]
fn drain_actions_are_encoded_as_the_flag_that_they_replace() {
    for (action, leave) in [(DrainAction::Undrain, false), (DrainAction::Drain, true)] {
        let encoded = postcard::to_stdvec(&action).expect("encodes");
        assert_eq!(encoded, postcard::to_stdvec(&leave).expect("encodes"));
        assert_eq!(
            postcard::from_bytes::<DrainAction>(&encoded).expect("decodes"),
            action
        );
    }
}
