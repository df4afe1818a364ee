//! Helpers that several tests share.
#![allow(dead_code)]

use std::fmt::Debug;
use std::sync::Arc;

use plankhill_control::{ControlState, Operation, Outcome, SingletonTask};
use plankhill_protocol::ids::{
    Incarnation, InstanceId, NodeId, Revision, ServiceName, StoreEpoch, ZoneName,
};
use plankhill_protocol::tables::{Edge, StoreMember, Target, TargetState};
use serde::de::DeserializeOwned;
use serde::Serialize;

pub fn target(id: &str, port: u16, sequence: u64) -> Target {
    Target {
        id: InstanceId::from(id),
        service: ServiceName::from("models"),
        address: ([10, 0, 0, 1], port).into(),
        zone: ZoneName::from("a"),
        capacity: 4,
        state: TargetState::Healthy,
        sequence,
        warm_up_remaining_ms: 0,
        models: Vec::new(),
    }
}

pub fn draining(id: &str, port: u16, sequence: u64) -> Target {
    Target {
        state: TargetState::Draining,
        ..target(id, port, sequence)
    }
}

pub fn edge(node: &str, incarnation: u64) -> Edge {
    Edge {
        node: NodeId::from(node),
        incarnation: Incarnation(incarnation),
        address: ([10, 0, 0, 2], 7000).into(),
        zone: ZoneName::from("a"),
    }
}

pub fn store(node: &str, incarnation: u64) -> StoreMember {
    StoreMember {
        node: NodeId::from(node),
        incarnation: Incarnation(incarnation),
        address: ([10, 0, 0, 3], 7001).into(),
        zone: ZoneName::from("a"),
    }
}

pub fn register(member: &StoreMember) -> Operation {
    Operation::RegisterStore {
        member: member.clone(),
        tolerated_faults: 1,
    }
}

pub fn synced(member: &StoreMember, epoch: u64) -> Operation {
    Operation::StoreSynced {
        node: member.node.clone(),
        incarnation: member.incarnation,
        epoch: StoreEpoch(epoch),
    }
}

pub fn remove_lost_store(member: &StoreMember) -> Operation {
    let task = SingletonTask::RemoveLostStore {
        node: member.node.clone(),
        incarnation: member.incarnation,
    };
    Operation::SingletonTask { view: 1, task }
}

pub fn put(expected: u64, version: u64, document: &str) -> Operation {
    Operation::PutConfiguration {
        expected,
        version,
        document: Arc::from(document.as_bytes()),
    }
}

pub fn apply(state: &mut ControlState, operation: &Operation) -> Outcome {
    state.apply(Revision(1), operation)
}

/// Returns a state with three serving stores, at epoch 1.
pub fn three_stores() -> (ControlState, [StoreMember; 3]) {
    let members = [store("s1", 1), store("s2", 2), store("s3", 3)];
    let mut state = ControlState::default();
    for member in &members {
        assert_eq!(apply(&mut state, &register(member)), Outcome::Applied);
    }
    (state, members)
}

/// Checks that each value is encoded to, and decoded from, the bytes in the fixture. The fixture has
/// one line `name hex` per value, in the same order.
pub fn assert_matches_fixture<T>(fixture: &str, values: Vec<(&str, T)>)
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let lines: Vec<(&str, &str)> = fixture
        .lines()
        .map(|line| line.split_once(' ').expect("a line `name hex`"))
        .collect();
    let fixture_names: Vec<&str> = lines.iter().map(|(name, _)| *name).collect();
    let names: Vec<&str> = values.iter().map(|(name, _)| *name).collect();
    assert_eq!(names, fixture_names);
    for ((name, hex), (_, value)) in lines.into_iter().zip(values) {
        let encoded = postcard::to_stdvec(&value).expect("encodes");
        assert_eq!(to_hex(&encoded), hex, "{name}");
        assert_eq!(
            postcard::from_bytes::<T>(&from_hex(hex)).expect("decodes"),
            value,
            "{name}"
        );
    }
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(hex: &str) -> Vec<u8> {
    let digits = hex
        .as_bytes()
        .chunks(2)
        .map(|pair| std::str::from_utf8(pair).expect("ASCII"));
    digits
        .map(|pair| u8::from_str_radix(pair, 16).expect("two hexadecimal digits"))
        .collect()
}
