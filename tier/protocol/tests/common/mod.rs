//! Helpers shared by the tests of this package.
#![allow(dead_code)] // Each test file uses only some of the helpers.

use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use arbtest::arbitrary::{Result, Unstructured};
use plankhill_protocol::ids::{
    Incarnation, InstanceId, NodeId, Revision, ServiceName, StoreEpoch, ZoneName,
};
use plankhill_protocol::tables::{
    compare_edges, compare_targets, ConfigurationText, Drain, Edge, StoreView, Tables, Target,
    TargetState,
};
use tokio::task::LocalSet;

/// Runs a test on the same kind of runtime as the processes use.
pub fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, test)
}

/// A loopback address with port 0, for which the operating system selects a free port.
pub fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Tables with only a revision and one edge, whose zone differs for each revision.
pub fn tables(revision: u64) -> Tables {
    Tables {
        revision: Revision(revision),
        edges: vec![edge(0, revision)],
        ..Tables::default()
    }
}

/// An edge with the given numbers in its name and its zone.
pub fn edge(number: u8, zone: u64) -> Edge {
    Edge {
        node: NodeId::from(format!("edge-{number}").as_str()),
        incarnation: Incarnation(1),
        address: any_port(),
        zone: ZoneName::from(format!("zone-{zone}").as_str()),
    }
}

/// Arbitrary tables from a small range of values, so that two of them have many elements in common.
pub fn any_tables(draw: &mut Unstructured<'_>, revision: u64) -> Result<Tables> {
    let mut targets = Vec::new();
    for number in 0..6 {
        if draw.ratio(2, 3)? {
            targets.push(any_target(draw, number)?);
        }
    }
    targets.sort_by(compare_targets);
    let mut edges = Vec::new();
    for number in 0..4 {
        if draw.ratio(2, 3)? {
            edges.push(edge(number, draw.int_in_range(0..=1)?));
        }
    }
    edges.sort_by(compare_edges);
    let stores = StoreView {
        epoch: StoreEpoch(draw.int_in_range(0..=2)?),
        ..StoreView::default()
    };
    let version = draw.int_in_range(1..=3)?;
    let document: Arc<[u8]> = Arc::from(&b"{}"[..]);
    let configuration = Some(ConfigurationText {
        version,
        document: document.into(),
    });
    let drain = Drain {
        node: NodeId::from("edge-0"),
        number: draw.int_in_range(1..=2)?,
        empty: draw.arbitrary()?,
    };
    let drains = if draw.arbitrary()? {
        vec![drain]
    } else {
        Vec::new()
    };
    Ok(Tables {
        revision: Revision(revision),
        configuration,
        targets,
        stores,
        edges,
        drains,
    })
}

fn any_target(draw: &mut Unstructured<'_>, number: u8) -> Result<Target> {
    let service = draw.int_in_range(0..=2)?;
    Ok(Target {
        id: InstanceId::from(format!("i-{number}").as_str()),
        service: ServiceName::from(format!("service-{service}").as_str()),
        address: any_port(),
        zone: ZoneName::from("zone"),
        capacity: 8,
        state: if draw.arbitrary()? {
            TargetState::Healthy
        } else {
            TargetState::Draining
        },
        sequence: draw.int_in_range(0..=2)?,
        warm_up_remaining_ms: 0,
        models: Vec::new(),
    })
}
