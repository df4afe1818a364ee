//! Heartbeats over HTTP.

mod common;

use common::{heartbeat, Tester};
use hyper::StatusCode;
use plankhill_protocol::ids::InstanceId;
use plankhill_protocol::tables::TargetState;

const PATH: &str = "/-/instances/i-1";

fn state(tester: &Tester) -> Option<TargetState> {
    tester
        .log
        .control()
        .targets()
        .get(&InstanceId::from("i-1"))
        .map(|target| target.state)
}

#[test]
fn heartbeats_without_news_are_not_proposed() {
    let tester = Tester::new();
    for sequence in 1..=5 {
        assert_eq!(
            tester
                .call("PUT", PATH, heartbeat("healthy", sequence))
                .status,
            StatusCode::OK
        );
    }
    assert_eq!(tester.log.proposals(), 1);
}

#[test]
fn a_draining_heartbeat_is_acknowledged_once_it_is_committed() {
    let tester = Tester::new();
    tester.call("PUT", PATH, heartbeat("healthy", 1));
    assert_eq!(
        tester.call("PUT", PATH, heartbeat("draining", 2)).status,
        StatusCode::OK
    );
    assert_eq!(state(&tester), Some(TargetState::Draining));
    // A late heartbeat is acknowledged and changes nothing.
    assert_eq!(
        tester.call("PUT", PATH, heartbeat("healthy", 1)).status,
        StatusCode::OK
    );
    assert_eq!(state(&tester), Some(TargetState::Draining));
}

#[test]
fn a_partitioned_controller_acknowledges_no_heartbeat() {
    let tester = Tester::new();
    tester.call("PUT", PATH, heartbeat("healthy", 1));
    tester.log.set_reachable(false);
    for report in [heartbeat("healthy", 2), heartbeat("draining", 3)] {
        let answered = tester.call("PUT", PATH, report);
        assert_eq!(answered.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(answered.retry_after);
    }
    assert_eq!(
        tester.call("DELETE", PATH, "").status,
        StatusCode::SERVICE_UNAVAILABLE
    );
}

#[test]
fn a_heartbeat_of_a_deregistered_target_does_not_register_it() {
    let tester = Tester::new();
    tester.call("PUT", PATH, heartbeat("healthy", 1));
    assert_eq!(tester.call("DELETE", PATH, "").status, StatusCode::OK);
    assert_eq!(tester.call("DELETE", PATH, "").status, StatusCode::OK);
    assert_eq!(
        tester.call("PUT", PATH, heartbeat("healthy", 9)).status,
        StatusCode::OK
    );
    assert_eq!(state(&tester), None);
}

#[test]
fn invalid_heartbeats_are_rejected_with_their_key() {
    let tester = Tester::new();
    let whole = heartbeat("healthy", 1);
    let kinds = [
        ("{".to_owned(), ""),
        (whole.replace("\"capacity\":8,", ""), "capacity"),
        (
            whole.replace("\"capacity\":8", "\"capacity\":0"),
            "capacity",
        ),
        (whole.replace("10.0.0.9:8080", "nowhere"), "line 1"),
        (
            whole.replace("\"service\":\"tools\"", "\"service\":\"\""),
            "service",
        ),
    ];
    for (text, key) in kinds {
        let answered = tester.call("PUT", PATH, text);
        assert_eq!(answered.status, StatusCode::BAD_REQUEST);
        assert!(answered.body.contains(key), "{answered:?}");
    }
    assert_eq!(tester.log.proposals(), 0);
}

#[test]
fn a_heartbeat_over_four_kibibytes_is_rejected() {
    let tester = Tester::new();
    let long = heartbeat("healthy", 1) + &" ".repeat(4_096);
    assert_eq!(
        tester.call("PUT", PATH, long).status,
        StatusCode::PAYLOAD_TOO_LARGE
    );
}

#[test]
fn models_are_parsed_and_unknown_keys_skipped() {
    let tester = Tester::new();
    let text = heartbeat("healthy", 1).replacen(
        '{',
        r#"{"phase":"both","models":[{"name":"m","version":1,"adapters":[]}],"#,
        1,
    );
    assert_eq!(tester.call("PUT", PATH, text).status, StatusCode::OK);
    let control = tester.log.control();
    let target = control.targets().get(&InstanceId::from("i-1")).unwrap();
    assert_eq!(
        (target.models[0].name.as_str(), target.models[0].version),
        ("m", 1)
    );
}
