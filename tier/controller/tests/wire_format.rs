//! The bytes that controllers send to each other besides the chain's, and the JSON of the admin
//! interface, as in the text that was in service when the fixtures were written.

mod common;

use std::net::SocketAddr;

use common::{block_on, configuration, edge, heartbeat, register, store, Answered, Tester};
use plankhill_control::{DrainAction, DrainOrder, Operation};
use plankhill_controller::control_log::{ChainPeer, ChainStatus};
use plankhill_controller::liveness::{LivenessReport, MachineIncarnation};
use plankhill_controller::subscribers::SubscriberGuard;
use plankhill_protocol::ids::{Incarnation, InstanceId, NodeId, Revision};
use plankhill_protocol::transport::{FrameReader, FrameWriter};

const LIVENESS: &str = include_str!("wire_format/liveness.txt");
const ANSWERS: &str = include_str!("wire_format/answers.txt");

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
fn reports_of_liveness_keep_their_bytes() {
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

/// A controller whose every table holds something, and its subscriber.
fn filled() -> (Tester, SubscriberGuard) {
    let tester = Tester::new();
    tester.log.set_chain_status(ChainStatus {
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
        tester.log.commit(&Operation::RegisterEdge(edge(name, 7)));
    }
    for number in 1..=4 {
        tester
            .log
            .commit(&register(&store(&format!("store-{number}"), number)));
    }
    let epoch = tester.log.control().stores().view().epoch;
    let (node, incarnation) = (NodeId::from("store-1"), Incarnation(1));
    tester.log.commit(&Operation::StoreSynced {
        node,
        incarnation,
        epoch,
    });
    let drained = DrainOrder {
        expected: 0,
        nodes: vec![NodeId::from("edge-1")],
        action: DrainAction::Drain,
    };
    tester.log.commit(&Operation::OrderDrain(drained));
    let subscriber = tester
        .controller
        .subscribers()
        .add(NodeId::from("edge-1"), Revision(3))
        .expect("room for a subscriber");
    (tester, subscriber)
}

fn line(name: &str, answered: &Answered) -> String {
    let retry = if answered.retry_after {
        "retry-after"
    } else {
        "-"
    };
    format!(
        "{name} {} {retry} {}",
        answered.status.as_u16(),
        answered.body
    )
}

#[test]
fn answers_of_the_admin_interface_keep_their_json() {
    let (tester, _subscriber) = filled();
    let path = "/-/instances/i-1";
    let order = |text: &str| tester.call("POST", "/-/drains", text.to_owned());
    let no_zone = r#"{"expected":1,"leave":true,"zone":"x"}"#;
    let too_many = r#"{"expected":1,"leave":true,"nodes":["edge-2"]}"#;
    let mut lines = vec![
        line(
            "configuration_missing",
            &tester.call("GET", "/-/config", ""),
        ),
        line(
            "configuration_taken",
            &tester.put_configuration(0, configuration(5)),
        ),
        line(
            "configuration_conflict",
            &tester.put_configuration(0, configuration(6)),
        ),
        line(
            "configuration_not_above",
            &tester.put_configuration(5, configuration(4)),
        ),
        line(
            "configuration_unreadable",
            &tester.put_configuration(5, "{"),
        ),
        line(
            "configuration_too_large",
            &tester.put_configuration(5, vec![b' '; (8 << 20) + 1]),
        ),
        line(
            "configuration_without_if_match",
            &tester.call("PUT", "/-/config", configuration(6)),
        ),
        line(
            "heartbeat_taken",
            &tester.call("PUT", path, heartbeat("healthy", 2)),
        ),
        line("heartbeat_unreadable", &tester.call("PUT", path, "{}")),
        line(
            "heartbeat_invalid",
            &tester.call(
                "PUT",
                path,
                heartbeat("healthy", 2).replace("\"tools\"", "\"\""),
            ),
        ),
        line("drains", &tester.call("GET", "/-/drains", "")),
        line(
            "drain_repeated",
            &order(r#"{"expected":0,"leave":true,"nodes":["edge-1"]}"#),
        ),
        line(
            "drain_conflict",
            &order(r#"{"expected":0,"leave":true,"nodes":["edge-2"]}"#),
        ),
        line("drain_of_nobody", &order(r#"{"expected":1,"leave":true}"#)),
        line("drain_of_an_empty_zone", &order(no_zone)),
        line(
            "drain_of_an_unknown_edge",
            &order(r#"{"expected":1,"leave":true,"nodes":["x"]}"#),
        ),
        line("drain_of_too_many", &order(too_many)),
        line("drain_unreadable", &order(r#"{"expected":1}"#)),
        line("status", &tester.call("GET", "/-/status", "")),
        line("retire_unknown", &tester.call("POST", "/-/retire/x", "")),
        line(
            "retire_unreadable",
            &tester.call("POST", "/-/retire/x", "{"),
        ),
        line(
            "retire_started",
            &tester.call("POST", "/-/retire/store-1", r#"{"duration_s":10}"#),
        ),
        line(
            "retire_progress",
            &tester.call("GET", "/-/retire/store-1", ""),
        ),
        line(
            "retire_of_too_many",
            &tester.call("POST", "/-/retire/store-2", ""),
        ),
        line("deregistered", &tester.call("DELETE", path, "")),
        line("unknown_path", &tester.call("GET", "/", "")),
        line("unknown_method", &tester.call("DELETE", "/-/config", "")),
        line("bad_name", &tester.call("PUT", "/-/instances/", "")),
    ];
    tester.log.commit(&Operation::EdgeDrained {
        node: NodeId::from("edge-1"),
        number: 1,
    });
    lines.push(line("drains_empty", &tester.call("GET", "/-/drains", "")));
    tester.log.set_reachable(false);
    lines.push(line("unavailable", &tester.call("GET", "/-/config", "")));
    assert_eq!(lines, ANSWERS.lines().collect::<Vec<_>>());
}
