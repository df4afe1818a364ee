//! The pinned messages, grouped by type.

use std::sync::Arc;

use plankhill_protocol::document::Document;
use plankhill_protocol::feed::{FromSubscriber, Subscriber, ToSubscriber};
use plankhill_protocol::ids::{
    Incarnation, InstanceId, NodeId, ProgramId, RequestId, Revision, ServiceName, StoreEpoch,
    ZoneName,
};
use plankhill_protocol::store_calls::{
    Reservation, StoreCall, StoreReply, TurnLifetime, TurnLocation, TurnRecord,
};
use plankhill_protocol::tables::{
    ConfigurationText, Drain, Edge, ServedModel, StoreMember, StoreView, Tables, TablesChange,
    TablesUpdate, Target, TargetState,
};
use plankhill_protocol::transport::{Channel, Hello};

use crate::pinned::{assert_pinned, fixture, Pinned};
use crate::values;

/// Implements [`Pinned`] for structs. The fixture of a struct has one line, with the name that the
/// struct had when it was pinned.
macro_rules! pinned_struct {
    ($($type:ty => $name:literal),* $(,)?) => {
        $(impl Pinned for $type {
            fn variant(&self) -> &'static str {
                $name
            }
        })*
    };
}

pinned_struct! {
    NodeId => "NodeId",
    ZoneName => "ZoneName",
    ServiceName => "ServiceName",
    InstanceId => "InstanceId",
    ProgramId => "ProgramId",
    RequestId => "RequestId",
    Incarnation => "Incarnation",
    Revision => "Revision",
    StoreEpoch => "StoreEpoch",
    Hello => "Hello",
    ServedModel => "ServedModel",
    Target => "Target",
    StoreMember => "StoreMember",
    Edge => "Edge",
    ConfigurationText => "ConfigurationText",
    Tables => "Tables",
    Drain => "Drain",
    Reservation => "Reservation",
    TurnLocation => "TurnPlace",
    TurnRecord => "TurnRecord",
}

#[test]
fn ids_keep_their_bytes() {
    assert_pinned("node_id", &[NodeId::from("core-1")]);
    assert_pinned("zone_name", &[ZoneName::from("west-1")]);
    assert_pinned("service_name", &[ServiceName::from("chat")]);
    assert_pinned("instance_id", &[InstanceId::from("i-77")]);
    assert_pinned("program_id", &[ProgramId::from("p-3")]);
    assert_pinned("request_id", &[RequestId::from("r-\u{e9}")]);
    assert_pinned("incarnation", &[Incarnation(0x0123_4567_89ab_cdef)]);
    assert_pinned("revision", &[Revision(u64::MAX)]);
    assert_pinned("store_epoch", &[StoreEpoch(129)]);
}

impl Pinned for Channel {
    fn variant(&self) -> &'static str {
        match self {
            Channel::Chain => "Chain",
            Channel::Feed => "Feed",
            Channel::Store => "Store",
            Channel::Peer => "Peer",
            Channel::Liveness => "Liveness",
        }
    }
}

#[test]
fn greetings_keep_their_bytes() {
    let channels = [
        Channel::Chain,
        Channel::Feed,
        Channel::Store,
        Channel::Peer,
        Channel::Liveness,
    ];
    assert_pinned("channel", &channels);
    assert_pinned(
        "hello",
        &[Hello {
            version: 300,
            channel: Channel::Store,
            node: NodeId::from("store-1"),
        }],
    );
}

impl Pinned for Subscriber {
    fn variant(&self) -> &'static str {
        match self {
            Subscriber::Edge(_) => "Edge",
            Subscriber::Store(_) => "Store",
            Subscriber::Proxy => "Proxy",
            Subscriber::Peer => "Peer",
        }
    }
}

impl Pinned for FromSubscriber {
    fn variant(&self) -> &'static str {
        match self {
            FromSubscriber::Subscribe { .. } => "Subscribe",
            FromSubscriber::Applied(_) => "Applied",
            FromSubscriber::RequestSnapshot => "WantsSnapshot",
            FromSubscriber::StoreSynced(_) => "StoreSynced",
            FromSubscriber::SuspectPeer(_) => "Suspects",
            FromSubscriber::Deregister => "Leaving",
            FromSubscriber::Drained { .. } => "Emptied",
            FromSubscriber::HeartbeatsOnly => "HeartbeatsOnly",
            FromSubscriber::ResumeUpdates { .. } => "Updates",
        }
    }
}

impl Pinned for ToSubscriber {
    fn variant(&self) -> &'static str {
        match self {
            ToSubscriber::Update(_) => "Update",
            ToSubscriber::Heartbeat { .. } => "Heartbeat",
            ToSubscriber::Controllers(_) => "Controllers",
        }
    }
}

#[test]
fn messages_of_subscriptions_keep_their_bytes() {
    let subscribers = [
        Subscriber::Edge(values::edge()),
        Subscriber::Store(values::store_member()),
        Subscriber::Proxy,
        Subscriber::Peer,
    ];
    assert_pinned("subscriber", &subscribers);
    let from_subscriber = [
        FromSubscriber::Subscribe {
            subscriber: Subscriber::Edge(values::edge()),
            held_revision: Revision(300),
        },
        FromSubscriber::Applied(Revision(301)),
        FromSubscriber::RequestSnapshot,
        FromSubscriber::StoreSynced(StoreEpoch(4)),
        FromSubscriber::SuspectPeer(NodeId::from("edge-2")),
        FromSubscriber::Deregister,
        FromSubscriber::Drained { number: 130 },
        FromSubscriber::HeartbeatsOnly,
        FromSubscriber::ResumeUpdates {
            held_revision: Revision(302),
        },
    ];
    assert_pinned("from_subscriber", &from_subscriber);
    let to_subscriber = [
        ToSubscriber::Update(TablesUpdate::Snapshot(values::tables())),
        ToSubscriber::Heartbeat {
            revision: Revision(303),
            current: true,
        },
        ToSubscriber::Controllers(vec![values::ipv4(7_000), values::ipv6(7_000)]),
    ];
    assert_pinned("to_subscriber", &to_subscriber);
}

impl Pinned for TargetState {
    fn variant(&self) -> &'static str {
        match self {
            TargetState::Healthy => "Healthy",
            TargetState::Draining => "Draining",
        }
    }
}

impl Pinned for StoreView {
    fn variant(&self) -> &'static str {
        match &self.next {
            Some(_) => "Changing",
            None => "Settled",
        }
    }
}

impl Pinned for TablesChange {
    fn variant(&self) -> &'static str {
        match self {
            TablesChange::TargetSet(_) => "TargetSet",
            TablesChange::TargetRemoved(_) => "TargetRemoved",
            TablesChange::Stores(_) => "Stores",
            TablesChange::EdgeSet(_) => "EdgeSet",
            TablesChange::EdgeRemoved(_) => "EdgeRemoved",
            TablesChange::Configuration(_) => "Configuration",
            TablesChange::Drains(_) => "Drains",
        }
    }
}

impl Pinned for TablesUpdate {
    fn variant(&self) -> &'static str {
        match self {
            TablesUpdate::Snapshot(_) => "Snapshot",
            TablesUpdate::Changes { .. } => "Changes",
        }
    }
}

fn changes() -> Vec<TablesChange> {
    vec![
        TablesChange::TargetSet(values::target()),
        TablesChange::TargetRemoved(InstanceId::from("i-79")),
        TablesChange::Stores(values::store_view()),
        TablesChange::EdgeSet(values::edge()),
        TablesChange::EdgeRemoved(NodeId::from("edge-8")),
        TablesChange::Configuration(values::configuration()),
        TablesChange::Drains(vec![values::drain()]),
    ]
}

#[test]
fn tables_keep_their_bytes() {
    assert_pinned(
        "target_state",
        &[TargetState::Healthy, TargetState::Draining],
    );
    assert_pinned(
        "served_model",
        &[ServedModel {
            name: "small".to_owned(),
            version: 3,
        }],
    );
    assert_pinned("target", &[values::target()]);
    assert_pinned("store_member", &[values::store_member()]);
    assert_pinned(
        "store_view",
        &[
            values::store_view(),
            StoreView {
                next: None,
                ..values::store_view()
            },
        ],
    );
    assert_pinned("edge", &[values::edge()]);
    assert_pinned("configuration_text", &[values::configuration()]);
    assert_pinned("drain", &[values::drain()]);
    assert_pinned("tables", &[values::tables()]);
    assert_pinned("tables_change", &changes());
    let updates = [
        TablesUpdate::Snapshot(values::tables()),
        TablesUpdate::Changes {
            from: Revision(1_000),
            to: Revision(1_001),
            changes: changes(),
        },
    ];
    assert_pinned("tables_update", &updates);
}

impl Pinned for Document {
    fn variant(&self) -> &'static str {
        match (self.len() < 1_024, self.first() == Some(&1)) {
            (true, false) => "Short",
            (true, true) => "ShortLikeCompressed",
            (false, false) => "Long",
            (false, true) => "LongLikeCompressed",
        }
    }
}

#[test]
fn documents_keep_their_compressed_bytes() {
    let route = |number| {
        format!("{{\"name\":\"r-{number}\",\"host\":\"h{number}.example\",\"timeout_ms\":5000}},")
    };
    let long: String = (0..40).map(route).collect();
    let long_like_compressed = [&[1], long.as_bytes()].concat();
    let texts: [&[u8]; 4] = [
        b"{\"version\":1}",
        &[1, 0, 0],
        long.as_bytes(),
        long_like_compressed.as_slice(),
    ];
    assert_pinned(
        "document",
        &texts.map(|text| Document::from(Arc::<[u8]>::from(text))),
    );
}

impl Pinned for StoreCall {
    fn variant(&self) -> &'static str {
        match self {
            StoreCall::BeginTurn { .. } => "BeginTurn",
            StoreCall::EndTurn { .. } => "EndTurn",
        }
    }
}

impl Pinned for StoreReply {
    fn variant(&self) -> &'static str {
        match self {
            StoreReply::Begun { .. } => "Begun",
            StoreReply::BudgetExhausted => "BudgetSpent",
            StoreReply::NoSuchTurn => "NoSuchTurn",
            StoreReply::Ended => "Ended",
            StoreReply::Unavailable => "Unsure",
            StoreReply::StaleEpoch(_) => "OldEpoch",
        }
    }
}

#[test]
fn calls_of_stores_keep_their_bytes() {
    assert_pinned("reservation", &[values::reservation()]);
    assert_pinned("turn_place", &[values::turn_location()]);
    assert_pinned("turn_record", &[values::turn_record()]);
    let calls = [
        begin_turn(Some(TurnLifetime {
            timeout_ms: 5_000,
            retention_ms: 60_000,
        })),
        StoreCall::EndTurn {
            epoch: StoreEpoch(132),
            program: ProgramId::from("p-4"),
            turn: RequestId::from("r-9"),
            tokens: Some(400),
            record: Some(values::turn_record()),
        },
    ];
    assert_pinned("store_call", &calls);
    let history: Arc<[u8]> = Arc::from(&b"what is it?it\nis\n"[..]);
    let replies = [
        StoreReply::Begun {
            history,
            previous: Some(values::turn_location()),
        },
        StoreReply::BudgetExhausted,
        StoreReply::NoSuchTurn,
        StoreReply::Ended,
        StoreReply::Unavailable,
        StoreReply::StaleEpoch(StoreEpoch(133)),
    ];
    assert_pinned("store_reply", &replies);
}

fn begin_turn(lifetime: Option<TurnLifetime>) -> StoreCall {
    StoreCall::BeginTurn {
        epoch: StoreEpoch(131),
        program: ProgramId::from("p-3"),
        turn: RequestId::from("r-8"),
        reservation: Some(values::reservation()),
        previous: Some(RequestId::from("r-7")),
        lifetime,
    }
}

#[test]
fn a_begin_without_lifetime_is_decoded() {
    let [(name, bytes)] = &fixture("store_call_without_lifetime")[..] else {
        panic!("not one call")
    };
    let decoded: StoreCall = postcard::from_bytes(bytes).unwrap();
    assert_eq!(name, decoded.variant());
    assert_eq!(decoded, begin_turn(None));
}

/// A store of a version without the field decodes the fields before it and ignores the remaining
/// bytes.
#[test]
fn the_lifetime_follows_all_fields_that_earlier_versions_decode() {
    let present = fixture("store_call");
    for (name, earlier) in fixture("store_call_without_lifetime") {
        let (_, bytes) = present.iter().find(|(other, _)| *other == name).unwrap();
        assert!(bytes.starts_with(&earlier), "{name}");
    }
}
