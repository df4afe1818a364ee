//! Pins the bytes that controllers send to each other outside the chain protocol, and the JSON of
//! the admin interface. The fixtures contain the output of the version in service when they were
//! written.

mod common;

use std::net::SocketAddr;

use common::{
    block_on, configuration, edge, heartbeat, register_store, store, ControllerHarness, Response,
};
use plankhill_control::{DrainAction, DrainOrder, Operation};
use plankhill_controller::control_log::{ChainPeer, ChainStatus};
use plankhill_controller::liveness::{LivenessReport, MachineIncarnation};
use plankhill_controller::subscribers::SubscriberGuard;
use plankhill_protocol::ids::{Incarnation, InstanceId, NodeId, Revision};
use plankhill_protocol::transport::{FrameReader, FrameWriter};

const LIVENESS: &str = include_str!("wire_format/liveness.txt");
const RESPONSES: &str = include_str!("wire_format/answers.txt");

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

#[test]
fn liveness_reports_keep_their_bytes() {
    let machine = |node: &str, incarnation| MachineIncarnation {
        node: NodeId::from(node),
        incarnation: Incarnation(incarnation),
    };
    let report = LivenessReport {
        targets: vec![InstanceId::from("i-1"), InstanceId::from("i-2")],
        machines: vec![
            machine("edge-1", 0x0102_0304_0506_0708),
            machine("store-1", 66),
        ],
    };
    let (name, hex) = LIVENESS
        .trim_end()
        .split_once(' ')
        .expect("a line `name hex`");
    assert_eq!(name, "HeardReport");
    block_on(async {
        let mut frame = Vec::new();
        FrameWriter::new(&mut frame)
            .send(&report)
            .await
            .expect("encodes");
        assert_eq!(to_hex(&frame), hex);
        let bytes = from_hex(hex);
        assert_eq!(
            FrameReader::new(&bytes[..])
                .next::<LivenessReport>()
                .await
                .expect("decodes"),
            report
        );
    });
}

fn peer(node: &str, port: u16) -> ChainPeer {
    ChainPeer {
        node: NodeId::from(node),
        address: SocketAddr::from(([10, 0, 0, 1], port)),
    }
}

/// Returns a controller with at least one entry in every table, and its subscriber.
fn populated_harness() -> (ControllerHarness, SubscriberGuard) {
    let harness = ControllerHarness::new();
    harness.log.set_chain_status(ChainStatus {
        view: 4,
        is_head: true,
        chain: vec![peer("core-1", 7_100), peer("core-2", 7_100)],
        voters: vec![
            peer("core-1", 7_100),
            peer("core-2", 7_100),
            peer("core-3", 7_100),
        ],
    });
    for name in ["edge-1", "edge-2"] {
        harness.log.commit(&Operation::RegisterEdge(edge(name, 7)));
    }
    for number in 1..=4 {
        harness
            .log
            .commit(&register_store(&store(&format!("store-{number}"), number)));
    }
    let epoch = harness.log.control_state().stores().view().epoch;
    let (node, incarnation) = (NodeId::from("store-1"), Incarnation(1));
    harness.log.commit(&Operation::StoreSynced {
        node,
        incarnation,
        epoch,
    });
    let drained = DrainOrder {
        expected: 0,
        nodes: vec![NodeId::from("edge-1")],
        action: DrainAction::Drain,
    };
    harness.log.commit(&Operation::OrderDrain(drained));
    let subscriber = harness
        .controller
        .subscribers()
        .add(NodeId::from("edge-1"), Revision(3))
        .expect("room for a subscriber");
    (harness, subscriber)
}

fn response_line(name: &str, response: &Response) -> String {
    let retry = if response.retry_after {
        "retry-after"
    } else {
        "-"
    };
    format!(
        "{name} {} {retry} {}",
        response.status.as_u16(),
        response.body
    )
}

#[test]
fn responses_of_the_admin_interface_keep_their_json() {
    let (harness, _subscriber) = populated_harness();
    let path = "/-/instances/i-1";
    let order = |text: &str| harness.call("POST", "/-/drains", text.to_owned());
    let no_zone = r#"{"expected":1,"leave":true,"zone":"x"}"#;
    let too_many = r#"{"expected":1,"leave":true,"nodes":["edge-2"]}"#;
    let mut lines = vec![
        response_line(
            "configuration_missing",
            &harness.call("GET", "/-/config", ""),
        ),
        response_line(
            "configuration_taken",
            &harness.put_configuration(0, configuration(5)),
        ),
        response_line(
            "configuration_conflict",
            &harness.put_configuration(0, configuration(6)),
        ),
        response_line(
            "configuration_not_above",
            &harness.put_configuration(5, configuration(4)),
        ),
        response_line(
            "configuration_unreadable",
            &harness.put_configuration(5, "{"),
        ),
        response_line(
            "configuration_too_large",
            &harness.put_configuration(5, vec![b' '; (8 << 20) + 1]),
        ),
        response_line(
            "configuration_without_if_match",
            &harness.call("PUT", "/-/config", configuration(6)),
        ),
        response_line(
            "heartbeat_taken",
            &harness.call("PUT", path, heartbeat("healthy", 2)),
        ),
        response_line("heartbeat_unreadable", &harness.call("PUT", path, "{}")),
        response_line(
            "heartbeat_invalid",
            &harness.call(
                "PUT",
                path,
                heartbeat("healthy", 2).replace("\"tools\"", "\"\""),
            ),
        ),
        response_line("drains", &harness.call("GET", "/-/drains", "")),
        response_line(
            "drain_repeated",
            &order(r#"{"expected":0,"leave":true,"nodes":["edge-1"]}"#),
        ),
        response_line(
            "drain_conflict",
            &order(r#"{"expected":0,"leave":true,"nodes":["edge-2"]}"#),
        ),
        response_line("drain_of_nobody", &order(r#"{"expected":1,"leave":true}"#)),
        response_line("drain_of_an_empty_zone", &order(no_zone)),
        response_line(
            "drain_of_an_unknown_edge",
            &order(r#"{"expected":1,"leave":true,"nodes":["x"]}"#),
        ),
        response_line("drain_of_too_many", &order(too_many)),
        response_line("drain_unreadable", &order(r#"{"expected":1}"#)),
        response_line("status", &harness.call("GET", "/-/status", "")),
        response_line("retire_unknown", &harness.call("POST", "/-/retire/x", "")),
        response_line(
            "retire_unreadable",
            &harness.call("POST", "/-/retire/x", "{"),
        ),
        response_line(
            "retire_started",
            &harness.call("POST", "/-/retire/store-1", r#"{"duration_s":10}"#),
        ),
        response_line(
            "retire_progress",
            &harness.call("GET", "/-/retire/store-1", ""),
        ),
        response_line(
            "retire_of_too_many",
            &harness.call("POST", "/-/retire/store-2", ""),
        ),
        response_line("deregistered", &harness.call("DELETE", path, "")),
        response_line("unknown_path", &harness.call("GET", "/", "")),
        response_line("unknown_method", &harness.call("DELETE", "/-/config", "")),
        response_line("bad_name", &harness.call("PUT", "/-/instances/", "")),
    ];
    harness.log.commit(&Operation::EdgeDrained {
        node: NodeId::from("edge-1"),
        number: 1,
    });
    lines.push(response_line(
        "drains_empty",
        &harness.call("GET", "/-/drains", ""),
    ));
    harness.log.set_reachable(false);
    lines.push(response_line(
        "unavailable",
        &harness.call("GET", "/-/config", ""),
    ));
    assert_eq!(lines, RESPONSES.lines().collect::<Vec<_>>());
}
