//! Retiring a store over HTTP.

mod common;

use common::{register, store, Tester};
use hyper::StatusCode;
use plankhill_control::Operation;

fn sync_next(tester: &Tester) {
    let control = tester.log.control();
    let view = control.stores().view();
    for member in view.next.clone().unwrap() {
        let (node, incarnation) = (member.node, member.incarnation);
        tester.log.commit(&Operation::StoreSynced {
            node,
            incarnation,
            epoch: view.epoch,
        });
    }
}

fn with_stores(count: u64) -> Tester {
    let tester = Tester::new();
    for number in 1..=count {
        tester
            .log
            .commit(&register(&store(&format!("s{number}"), number)));
    }
    if count > 3 {
        sync_next(&tester);
    }
    tester
}

#[test]
fn unknown_and_required_stores_are_not_retired() {
    let tester = with_stores(3);
    assert_eq!(
        tester.call("POST", "/-/retire/nobody", "").status,
        StatusCode::NOT_FOUND
    );
    assert_eq!(
        tester.call("GET", "/-/retire/s1", "").status,
        StatusCode::NOT_FOUND
    );
    assert_eq!(
        tester
            .call("POST", "/-/retire/s1", r#"{"duration_s":10}"#)
            .status,
        StatusCode::CONFLICT
    );
}

#[test]
fn a_retirement_completes_only_once_the_others_have_synced() {
    let tester = with_stores(4);
    for _ in 0..2 {
        let answered = tester.call("POST", "/-/retire/s2", r#"{"duration_s":10}"#);
        assert_eq!(answered.status, StatusCode::OK);
    }
    assert!(tester
        .call("GET", "/-/retire/s2", "")
        .body
        .contains("in_progress"));
    sync_next(&tester);
    assert!(tester
        .call("GET", "/-/retire/s2", "")
        .body
        .contains("completed"));
}

#[test]
fn a_partitioned_controller_does_not_report_progress() {
    let tester = with_stores(4);
    tester.log.set_reachable(false);
    assert_eq!(
        tester.call("GET", "/-/retire/s2", "").status,
        StatusCode::SERVICE_UNAVAILABLE
    );
    assert_eq!(
        tester.call("POST", "/-/retire/s2", "").status,
        StatusCode::SERVICE_UNAVAILABLE
    );
}
