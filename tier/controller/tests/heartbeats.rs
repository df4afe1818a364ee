//! Tests heartbeats of targets over HTTP.

mod common;

use common::{heartbeat, ControllerHarness};
use hyper::StatusCode;
use plankhill_protocol::ids::InstanceId;
use plankhill_protocol::tables::TargetState;

const PATH: &str = "/-/instances/i-1";

fn state(harness: &ControllerHarness) -> Option<TargetState> {
    harness
        .log
        .control_state()
        .targets()
        .get(&InstanceId::from("i-1"))
        .map(|target| target.state)
}

#[test]
fn unchanged_heartbeats_are_not_proposed() {
    let harness = ControllerHarness::new();
    for sequence in 1..=5 {
        assert_eq!(
            harness
                .call("PUT", PATH, heartbeat("healthy", sequence))
                .status,
            StatusCode::OK
        );
    }
    assert_eq!(harness.log.proposal_count(), 1);
}

#[test]
fn a_draining_heartbeat_is_acknowledged_once_it_is_committed() {
    let harness = ControllerHarness::new();
    harness.call("PUT", PATH, heartbeat("healthy", 1));
    assert_eq!(
        harness.call("PUT", PATH, heartbeat("draining", 2)).status,
        StatusCode::OK
    );
    assert_eq!(state(&harness), Some(TargetState::Draining));
    // A late heartbeat is acknowledged and changes nothing.
    assert_eq!(
        harness.call("PUT", PATH, heartbeat("healthy", 1)).status,
        StatusCode::OK
    );
    assert_eq!(state(&harness), Some(TargetState::Draining));
}

#[test]
fn a_partitioned_controller_acknowledges_no_heartbeat() {
    let harness = ControllerHarness::new();
    harness.call("PUT", PATH, heartbeat("healthy", 1));
    harness.log.set_reachable(false);
    for report in [heartbeat("healthy", 2), heartbeat("draining", 3)] {
        let response = harness.call("PUT", PATH, report);
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(response.retry_after);
    }
    assert_eq!(
        harness.call("DELETE", PATH, "").status,
        StatusCode::SERVICE_UNAVAILABLE
    );
}

#[test]
fn a_heartbeat_of_a_deregistered_target_does_not_register_it() {
    let harness = ControllerHarness::new();
    harness.call("PUT", PATH, heartbeat("healthy", 1));
    assert_eq!(harness.call("DELETE", PATH, "").status, StatusCode::OK);
    assert_eq!(harness.call("DELETE", PATH, "").status, StatusCode::OK);
    assert_eq!(
        harness.call("PUT", PATH, heartbeat("healthy", 9)).status,
        StatusCode::OK
    );
    assert_eq!(state(&harness), None);
}

#[test]
fn invalid_heartbeats_are_rejected_with_their_key() {
    let harness = ControllerHarness::new();
    let valid = heartbeat("healthy", 1);
    let cases = [
        ("{".to_owned(), ""),
        (valid.replace("\"capacity\":8,", ""), "capacity"),
        (
            valid.replace("\"capacity\":8", "\"capacity\":0"),
            "capacity",
        ),
        (valid.replace("10.0.0.9:8080", "nowhere"), "line 1"),
        (
            valid.replace("\"service\":\"tools\"", "\"service\":\"\""),
            "service",
        ),
    ];
    for (text, key) in cases {
        let response = harness.call("PUT", PATH, text);
        assert_eq!(response.status, StatusCode::BAD_REQUEST);
        assert!(response.body.contains(key), "{response:?}");
    }
    assert_eq!(harness.log.proposal_count(), 0);
}

#[test]
fn a_heartbeat_over_four_kibibytes_is_rejected() {
    let harness = ControllerHarness::new();
    let long = heartbeat("healthy", 1) + &" ".repeat(4_096);
    assert_eq!(
        harness.call("PUT", PATH, long).status,
        StatusCode::PAYLOAD_TOO_LARGE
    );
}

#[test]
fn models_are_parsed_and_unknown_keys_skipped() {
    let harness = ControllerHarness::new();
    let text = heartbeat("healthy", 1).replacen(
        '{',
        r#"{"phase":"both","models":[{"name":"m","version":1,"adapters":[]}],"#,
        1,
    );
    assert_eq!(harness.call("PUT", PATH, text).status, StatusCode::OK);
    let control = harness.log.control_state();
    let target = control.targets().get(&InstanceId::from("i-1")).unwrap();
    assert_eq!(
        (target.models[0].name.as_str(), target.models[0].version),
        ("m", 1)
    );
}
