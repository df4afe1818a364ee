//! Tests drain orders over HTTP.

mod common;

use common::{edge, ControllerHarness};
use plankhill_control::Operation;
use plankhill_protocol::ids::ZoneName;
use plankhill_protocol::tables::Edge;
use serde_json::{json, Value};

fn harness_with_edges() -> ControllerHarness {
    let harness = ControllerHarness::new();
    for name in ["a1", "a2", "b1", "b2", "c1", "c2"] {
        let edge = Edge {
            zone: ZoneName::from(&name[..1]),
            ..edge(name, 7)
        };
        harness.log.commit(&Operation::RegisterEdge(edge));
    }
    harness
}

fn order(harness: &ControllerHarness, order: &Value) -> (u16, Value) {
    let response = harness.call("POST", "/-/drains", order.to_string());
    (
        response.status.as_u16(),
        serde_json::from_str(&response.body).expect("JSON"),
    )
}

#[test]
fn a_drain_order_names_machines_or_a_zone() {
    let harness = harness_with_edges();
    let (status, list) = order(
        &harness,
        &json!({"expected": 0, "leave": true, "nodes": ["a1"]}),
    );
    assert_eq!((status, &list["number"]), (200, &json!(1)));
    assert_eq!(
        list["drains"],
        json!([{"node": "a1", "number": 1, "state": "leaving"}])
    );
    assert_eq!(
        list["edges"][0],
        json!({"node": "a1", "zone": "a", "incarnation": 7})
    );
    let (status, list) = order(
        &harness,
        &json!({"expected": 1, "leave": true, "zone": "b"}),
    );
    assert_eq!(
        (status, list["drains"].as_array().map(Vec::len)),
        (200, Some(3))
    );
    let (status, list) = order(
        &harness,
        &json!({"expected": 2, "leave": false, "zone": "b"}),
    );
    assert_eq!(
        (status, list["drains"].as_array().map(Vec::len)),
        (200, Some(1))
    );
}

#[test]
fn a_repeated_drain_order_is_acknowledged_and_a_stale_one_conflicts() {
    let harness = harness_with_edges();
    let first = json!({"expected": 0, "leave": true, "nodes": ["a1"]});
    assert_eq!(order(&harness, &first).0, 200);
    assert_eq!(order(&harness, &first).0, 200);
    assert_eq!(
        order(
            &harness,
            &json!({"expected": 0, "leave": true, "nodes": ["b1"]})
        )
        .0,
        412
    );
}

#[test]
fn impossible_drain_orders_are_rejected_with_their_reason() {
    let harness = harness_with_edges();
    let assert_rejected = |body: Value, expected: u16, reason: &str| {
        let (status, answer) = order(&harness, &body);
        assert_eq!(status, expected, "{body}");
        assert!(
            answer["error"]
                .as_str()
                .is_some_and(|error| error.contains(reason)),
            "{answer}"
        );
    };
    assert_rejected(
        json!({"expected": 0, "leave": true, "nodes": ["x"]}),
        404,
        "no such edge",
    );
    assert_rejected(
        json!({"expected": 0, "leave": true, "zone": "x"}),
        404,
        "zone",
    );
    assert_rejected(json!({"expected": 0, "leave": true}), 400, "nodes");
    assert_rejected(json!({"leave": true, "nodes": ["a1"]}), 400, "expected");
    assert_rejected(
        json!({"expected": 0, "leave": true, "nodes": ["a1"], "force": true}),
        400,
        "force",
    );
    assert_rejected(
        json!({"expected": 0, "leave": "yes", "nodes": ["a1"]}),
        400,
        "leave",
    );
    assert_rejected(
        json!({"expected": 0, "leave": true, "nodes": ["a1", "b1", "c1", "c2"]}),
        409,
        "too few",
    );
}

#[test]
fn a_partitioned_controller_responds_503() {
    let harness = harness_with_edges();
    harness.log.set_reachable(false);
    let response = harness.call(
        "POST",
        "/-/drains",
        json!({"expected": 0, "leave": true, "nodes": ["a1"]}).to_string(),
    );
    assert_eq!(
        (response.status.as_u16(), response.retry_after),
        (503, true)
    );
    // Edges of a zone that is unknown to this controller may have been registered in the meantime,
    // so the outcome is unknown.
    let zone = harness.call(
        "POST",
        "/-/drains",
        json!({"expected": 0, "leave": true, "zone": "x"}).to_string(),
    );
    assert_eq!((zone.status.as_u16(), zone.retry_after), (503, true));
    assert_eq!(harness.call("GET", "/-/drains", "").status.as_u16(), 503);
}

#[test]
fn a_drained_edge_is_listed_as_empty() {
    let harness = harness_with_edges();
    order(
        &harness,
        &json!({"expected": 0, "leave": true, "nodes": ["a1"]}),
    );
    harness.log.commit(&Operation::EdgeDrained {
        node: "a1".into(),
        number: 1,
    });
    let list: Value =
        serde_json::from_str(&harness.call("GET", "/-/drains", "").body).expect("JSON");
    assert_eq!(
        list["drains"],
        json!([{"node": "a1", "number": 1, "state": "empty"}])
    );
}
