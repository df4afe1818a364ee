//! Tests the retirement of stores over HTTP.

mod common;

use common::{register_store, store, ControllerHarness};
use hyper::StatusCode;
use plankhill_control::Operation;

fn sync_next(harness: &ControllerHarness) {
    let control = harness.log.control_state();
    let view = control.stores().view();
    for member in view.next.clone().unwrap() {
        let (node, incarnation) = (member.node, member.incarnation);
        harness.log.commit(&Operation::StoreSynced {
            node,
            incarnation,
            epoch: view.epoch,
        });
    }
}

fn harness_with_stores(count: u64) -> ControllerHarness {
    let harness = ControllerHarness::new();
    for number in 1..=count {
        harness
            .log
            .commit(&register_store(&store(&format!("s{number}"), number)));
    }
    if count > 3 {
        sync_next(&harness);
    }
    harness
}

#[test]
fn unknown_and_required_stores_are_not_retired() {
    let harness = harness_with_stores(3);
    assert_eq!(
        harness.call("POST", "/-/retire/nobody", "").status,
        StatusCode::NOT_FOUND
    );
    assert_eq!(
        harness.call("GET", "/-/retire/s1", "").status,
        StatusCode::NOT_FOUND
    );
    assert_eq!(
        harness
            .call("POST", "/-/retire/s1", r#"{"duration_s":10}"#)
            .status,
        StatusCode::CONFLICT
    );
}

#[test]
fn a_retirement_completes_only_once_the_others_have_synced() {
    let harness = harness_with_stores(4);
    for _ in 0..2 {
        let response = harness.call("POST", "/-/retire/s2", r#"{"duration_s":10}"#);
        assert_eq!(response.status, StatusCode::OK);
    }
    assert!(harness
        .call("GET", "/-/retire/s2", "")
        .body
        .contains("in_progress"));
    sync_next(&harness);
    assert!(harness
        .call("GET", "/-/retire/s2", "")
        .body
        .contains("completed"));
}

#[test]
fn a_partitioned_controller_does_not_report_progress() {
    let harness = harness_with_stores(4);
    harness.log.set_reachable(false);
    assert_eq!(
        harness.call("GET", "/-/retire/s2", "").status,
        StatusCode::SERVICE_UNAVAILABLE
    );
    assert_eq!(
        harness.call("POST", "/-/retire/s2", "").status,
        StatusCode::SERVICE_UNAVAILABLE
    );
}
