//! The pinned values. No field has its default value.

use std::net::{Ipv6Addr, SocketAddr};
use std::sync::Arc;

use plankhill_protocol::ids::{
    Incarnation, InstanceId, NodeId, ProgramId, RequestId, Revision, ServiceName, StoreEpoch,
    ZoneName,
};
use plankhill_protocol::store_calls::{Reservation, TurnLocation, TurnRecord};
use plankhill_protocol::tables::{
    ConfigurationText, Drain, Edge, ServedModel, StoreMember, StoreView, Tables, Target,
    TargetState,
};

pub fn ipv4(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, 2, 3], port))
}

pub fn ipv6(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv6Addr::new(0xfd00, 1, 2, 3, 4, 5, 6, 7), port))
}

pub fn target() -> Target {
    Target {
        id: InstanceId::from("i-77"),
        service: ServiceName::from("chat"),
        address: ipv4(8_081),
        zone: ZoneName::from("west-1"),
        capacity: 300,
        state: TargetState::Draining,
        sequence: 70_000,
        warm_up_remaining_ms: 4_500,
        models: vec![
            ServedModel {
                name: "small".to_owned(),
                version: 3,
            },
            ServedModel {
                name: "large".to_owned(),
                version: u64::MAX,
            },
        ],
    }
}

pub fn healthy_target() -> Target {
    Target {
        id: InstanceId::from("i-78"),
        address: ipv6(8_082),
        state: TargetState::Healthy,
        ..target()
    }
}

pub fn store_member() -> StoreMember {
    StoreMember {
        node: NodeId::from("store-1"),
        incarnation: Incarnation(0x0123_4567_89ab_cdef),
        address: ipv4(7_001),
        zone: ZoneName::from("west-2"),
    }
}

pub fn other_store_member() -> StoreMember {
    StoreMember {
        node: NodeId::from("store-2"),
        incarnation: Incarnation(200),
        ..store_member()
    }
}

pub fn store_view() -> StoreView {
    StoreView {
        epoch: StoreEpoch(129),
        serving: vec![store_member()],
        next: Some(vec![store_member(), other_store_member()]),
        tolerated_faults: 2,
    }
}

pub fn edge() -> Edge {
    Edge {
        node: NodeId::from("edge-1"),
        incarnation: Incarnation(u64::MAX),
        address: ipv4(7_002),
        zone: ZoneName::from("east-1"),
    }
}

pub fn configuration() -> ConfigurationText {
    let document: Arc<[u8]> = Arc::from(&br#"{"version":16384}"#[..]);
    ConfigurationText {
        version: 16_384,
        document: document.into(),
    }
}

pub fn drain() -> Drain {
    Drain {
        node: NodeId::from("edge-9"),
        number: 5,
        empty: true,
    }
}

pub fn tables() -> Tables {
    Tables {
        revision: Revision(1_000_000),
        configuration: Some(configuration()),
        targets: vec![target(), healthy_target()],
        stores: store_view(),
        edges: vec![edge()],
        drains: vec![drain()],
    }
}

pub fn reservation() -> Reservation {
    Reservation {
        budget: 40_000,
        max_tokens: 512,
    }
}

pub fn turn_location() -> TurnLocation {
    TurnLocation {
        turn: RequestId::from("r-6"),
        program: ProgramId::from("p-2"),
    }
}

pub fn turn_record() -> TurnRecord {
    TurnRecord {
        turn: RequestId::from("r-7"),
        program: ProgramId::from("p-3"),
        previous: Some(turn_location()),
        input: Arc::from(&b"what is it?"[..]),
        output: Arc::from(&b"it\nis\n"[..]),
        retention_ms: 60_000,
    }
}
