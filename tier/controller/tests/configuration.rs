//! Tests the operator's configuration over HTTP.

mod common;

use common::{configuration, configuration_with, document, route, route_with, ControllerHarness};
use hyper::StatusCode;

#[test]
fn an_accepted_configuration_is_read_back_byte_for_byte() {
    let harness = ControllerHarness::new();
    assert_eq!(
        harness.call("GET", "/-/config", "").status,
        StatusCode::NOT_FOUND
    );
    let text = configuration(5);
    assert_eq!(
        harness.put_configuration(0, text.clone()).status,
        StatusCode::OK
    );
    assert_eq!(harness.call("GET", "/-/config", "").body, text);
}

#[test]
fn a_repeated_put_is_acknowledged_also_after_later_ones() {
    let harness = ControllerHarness::new();
    for (expected, version) in [(0, 5), (5, 7), (7, 9)] {
        assert_eq!(
            harness
                .put_configuration(expected, configuration(version))
                .status,
            StatusCode::OK
        );
    }
    for (expected, version) in [(7, 9), (0, 5), (5, 7)] {
        assert_eq!(
            harness
                .put_configuration(expected, configuration(version))
                .status,
            StatusCode::OK
        );
    }
    assert_eq!(harness.log.proposal_count(), 3);
    assert_eq!(harness.call("GET", "/-/config", "").body, configuration(9));
}

#[test]
fn only_one_of_two_puts_on_the_same_version_is_accepted() {
    let harness = ControllerHarness::new();
    harness.put_configuration(0, configuration(5));
    assert_eq!(
        harness
            .put_configuration(5, configuration_with(7, 2))
            .status,
        StatusCode::OK
    );
    let same_number = harness.put_configuration(5, configuration_with(7, 3));
    assert_eq!(same_number.status, StatusCode::PRECONDITION_FAILED);
    assert_eq!(
        harness.put_configuration(5, configuration(8)).status,
        StatusCode::PRECONDITION_FAILED
    );
    assert_eq!(
        harness.put_configuration(9, configuration(10)).status,
        StatusCode::PRECONDITION_FAILED
    );
}

#[test]
fn an_invalid_configuration_is_rejected_with_its_key() {
    let harness = ControllerHarness::new();
    harness.put_configuration(0, configuration(5));
    let valid = configuration(7);
    let duplicate_prefix = format!("{},{}", route("/a/", "tools"), route("/a/", "tools"));
    let no_weight = r#""weighted_services":[{"service":"tools","weight":0}],"timeout_ms":500"#;
    let cases = [
        (valid[..valid.len() / 2].to_owned(), ""),
        (document(7, &route("/a/", "nobody")), "routes[0]"),
        (document(7, &duplicate_prefix), "routes[1]"),
        (document(7, &route_with("/a/", no_weight)), "weight"),
        (
            document(7, &route_with("/a/", r#""service":"tools","timeout_ms":0"#)),
            "timeout_ms",
        ),
        (document(5, &route("/a/", "tools")), "version"),
        (document(4, &route("/a/", "tools")), "version"),
        ("".to_owned(), ""),
        ("[1]".to_owned(), ""),
    ];
    for (text, key) in cases {
        let response = harness.put_configuration(5, text.clone());
        assert_eq!(response.status, StatusCode::BAD_REQUEST, "{text}");
        assert!(
            response.body.contains("error") && response.body.contains(key),
            "{response:?}"
        );
    }
    assert_eq!(harness.call("GET", "/-/config", "").body, configuration(5));
}

#[test]
fn a_put_without_if_match_is_rejected() {
    let harness = ControllerHarness::new();
    let response = harness.call("PUT", "/-/config", configuration(5));
    assert_eq!(response.status, StatusCode::BAD_REQUEST);
    assert!(response.body.contains("If-Match"));
}

#[test]
fn a_configuration_beyond_the_size_limit_is_rejected() {
    let harness = ControllerHarness::new();
    let response = harness.put_configuration(0, vec![b' '; (8 << 20) + 1]);
    assert_eq!(response.status, StatusCode::PAYLOAD_TOO_LARGE);
}

#[test]
fn a_configuration_with_thousands_of_routes_is_accepted() {
    let harness = ControllerHarness::new();
    let text = configuration_with(5, 4_000);
    assert_eq!(
        harness.put_configuration(0, text.clone()).status,
        StatusCode::OK
    );
    assert_eq!(harness.call("GET", "/-/config", "").body.len(), text.len());
}

#[test]
fn a_partitioned_controller_responds_503() {
    let harness = ControllerHarness::new();
    harness.put_configuration(0, configuration(5));
    harness.log.set_reachable(false);
    for response in [
        harness.put_configuration(5, configuration(7)),
        harness.call("GET", "/-/config", ""),
    ] {
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(response.retry_after);
    }
}

#[test]
fn a_put_without_an_outcome_may_be_repeated() {
    let harness = ControllerHarness::new();
    harness.log.set_reachable(false);
    assert_eq!(
        harness.put_configuration(0, configuration(5)).status,
        StatusCode::SERVICE_UNAVAILABLE
    );
    harness.log.set_reachable(true);
    // Commits the first attempt, whose outcome was unknown.
    harness.put_configuration(0, configuration(5));
    assert_eq!(
        harness.put_configuration(0, configuration(5)).status,
        StatusCode::OK
    );
}

#[test]
fn unknown_paths_and_methods_are_rejected() {
    let harness = ControllerHarness::new();
    assert_eq!(harness.call("GET", "/", "").status, StatusCode::NOT_FOUND);
    assert_eq!(
        harness.call("DELETE", "/-/config", "").status,
        StatusCode::METHOD_NOT_ALLOWED
    );
    assert_eq!(
        harness.call("PUT", "/-/instances/", "").status,
        StatusCode::BAD_REQUEST
    );
}

/// Guards against the rejection of a repeated put that is older than the history: its outcome is
/// unknown, so it must not be rejected because its base version is outdated.
#[test]
fn a_put_older_than_the_history_gets_503() {
    let harness = ControllerHarness::new();
    let last = plankhill_control::MAX_ACCEPTED_REMEMBERED as u64 + 2;
    for version in 1..=last {
        assert_eq!(
            harness
                .put_configuration(version - 1, configuration(version))
                .status,
            StatusCode::OK
        );
    }
    let trimmed = harness.put_configuration(0, configuration(1));
    assert_eq!(
        (trimmed.status, trimmed.retry_after),
        (StatusCode::SERVICE_UNAVAILABLE, true)
    );
    assert_eq!(
        harness.put_configuration(2, configuration(3)).status,
        StatusCode::OK
    );
    assert_eq!(
        harness
            .put_configuration(3, configuration_with(5, 2))
            .status,
        StatusCode::PRECONDITION_FAILED
    );
}
