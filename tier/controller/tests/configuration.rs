//! The operator's configuration over HTTP.

mod common;

use common::{configuration, configuration_with, document, route, route_with, Tester};
use hyper::StatusCode;

#[test]
fn an_accepted_configuration_is_read_back_byte_for_byte() {
    let tester = Tester::new();
    assert_eq!(
        tester.call("GET", "/-/config", "").status,
        StatusCode::NOT_FOUND
    );
    let text = configuration(5);
    assert_eq!(
        tester.put_configuration(0, text.clone()).status,
        StatusCode::OK
    );
    assert_eq!(tester.call("GET", "/-/config", "").body, text);
}

#[test]
fn a_repeated_put_is_acknowledged_also_after_later_ones() {
    let tester = Tester::new();
    for (expected, version) in [(0, 5), (5, 7), (7, 9)] {
        assert_eq!(
            tester
                .put_configuration(expected, configuration(version))
                .status,
            StatusCode::OK
        );
    }
    for (expected, version) in [(7, 9), (0, 5), (5, 7)] {
        assert_eq!(
            tester
                .put_configuration(expected, configuration(version))
                .status,
            StatusCode::OK
        );
    }
    assert_eq!(tester.log.proposals(), 3);
    assert_eq!(tester.call("GET", "/-/config", "").body, configuration(9));
}

#[test]
fn one_of_two_operators_on_the_same_version_wins() {
    let tester = Tester::new();
    tester.put_configuration(0, configuration(5));
    assert_eq!(
        tester.put_configuration(5, configuration_with(7, 2)).status,
        StatusCode::OK
    );
    let same_number = tester.put_configuration(5, configuration_with(7, 3));
    assert_eq!(same_number.status, StatusCode::PRECONDITION_FAILED);
    assert_eq!(
        tester.put_configuration(5, configuration(8)).status,
        StatusCode::PRECONDITION_FAILED
    );
    assert_eq!(
        tester.put_configuration(9, configuration(10)).status,
        StatusCode::PRECONDITION_FAILED
    );
}

#[test]
fn an_invalid_configuration_is_rejected_with_its_key() {
    let tester = Tester::new();
    tester.put_configuration(0, configuration(5));
    let whole = configuration(7);
    let shared = format!("{},{}", route("/a/", "tools"), route("/a/", "tools"));
    let no_weight = r#""weighted_services":[{"service":"tools","weight":0}],"timeout_ms":500"#;
    let kinds = [
        (whole[..whole.len() / 2].to_owned(), ""),
        (document(7, &route("/a/", "nobody")), "routes[0]"),
        (document(7, &shared), "routes[1]"),
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
    for (text, key) in kinds {
        let answered = tester.put_configuration(5, text.clone());
        assert_eq!(answered.status, StatusCode::BAD_REQUEST, "{text}");
        assert!(
            answered.body.contains("error") && answered.body.contains(key),
            "{answered:?}"
        );
    }
    assert_eq!(tester.call("GET", "/-/config", "").body, configuration(5));
}

#[test]
fn a_put_without_if_match_is_rejected() {
    let tester = Tester::new();
    let answered = tester.call("PUT", "/-/config", configuration(5));
    assert_eq!(answered.status, StatusCode::BAD_REQUEST);
    assert!(answered.body.contains("If-Match"));
}

#[test]
fn a_configuration_beyond_the_size_limit_is_rejected() {
    let tester = Tester::new();
    let answered = tester.put_configuration(0, vec![b' '; (8 << 20) + 1]);
    assert_eq!(answered.status, StatusCode::PAYLOAD_TOO_LARGE);
}

#[test]
fn a_configuration_with_thousands_of_routes_is_accepted() {
    let tester = Tester::new();
    let text = configuration_with(5, 4_000);
    assert_eq!(
        tester.put_configuration(0, text.clone()).status,
        StatusCode::OK
    );
    assert_eq!(tester.call("GET", "/-/config", "").body.len(), text.len());
}

#[test]
fn a_partitioned_controller_responds_503() {
    let tester = Tester::new();
    tester.put_configuration(0, configuration(5));
    tester.log.set_reachable(false);
    for answered in [
        tester.put_configuration(5, configuration(7)),
        tester.call("GET", "/-/config", ""),
    ] {
        assert_eq!(answered.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(answered.retry_after);
    }
}

#[test]
fn a_put_without_an_outcome_may_be_repeated() {
    let tester = Tester::new();
    tester.log.set_reachable(false);
    assert_eq!(
        tester.put_configuration(0, configuration(5)).status,
        StatusCode::SERVICE_UNAVAILABLE
    );
    tester.log.set_reachable(true);
    // The first attempt was committed after all.
    tester.put_configuration(0, configuration(5));
    assert_eq!(
        tester.put_configuration(0, configuration(5)).status,
        StatusCode::OK
    );
}

#[test]
fn unknown_paths_and_methods_are_rejected() {
    let tester = Tester::new();
    assert_eq!(tester.call("GET", "/", "").status, StatusCode::NOT_FOUND);
    assert_eq!(
        tester.call("DELETE", "/-/config", "").status,
        StatusCode::METHOD_NOT_ALLOWED
    );
    assert_eq!(
        tester.call("PUT", "/-/instances/", "").status,
        StatusCode::BAD_REQUEST
    );
}

/// Guards repeats of puts that are older than the remembered history: this controller must not
/// reject them because of the version that they build on.
#[test]
fn a_put_older_than_the_history_gets_503() {
    let tester = Tester::new();
    let last = plankhill_control::MAX_ACCEPTED_REMEMBERED as u64 + 2;
    for version in 1..=last {
        assert_eq!(
            tester
                .put_configuration(version - 1, configuration(version))
                .status,
            StatusCode::OK
        );
    }
    let forgotten = tester.put_configuration(0, configuration(1));
    assert_eq!(
        (forgotten.status, forgotten.retry_after),
        (StatusCode::SERVICE_UNAVAILABLE, true)
    );
    assert_eq!(
        tester.put_configuration(2, configuration(3)).status,
        StatusCode::OK
    );
    assert_eq!(
        tester.put_configuration(3, configuration_with(5, 2)).status,
        StatusCode::PRECONDITION_FAILED
    );
}
