//! Tests that each kind of invalid configuration is rejected with the path of the key.

mod common;

use plankhill_configuration::{Configuration, ConfigurationError, MAX_DOCUMENT_BYTES};
use serde_json::{json, Value};

use common::{route, text, valid, with, with_key, without};

fn rejected(document: &Value) -> ConfigurationError {
    Configuration::parse(&text(document)).expect_err(&document.to_string())
}

fn faulty_keys(document: &Value) -> Vec<String> {
    rejected(document)
        .faults()
        .iter()
        .map(|fault| fault.key.clone())
        .collect()
}

#[test]
fn a_document_truncated_anywhere_is_rejected() {
    let bytes = text(&valid());
    for length in 0..bytes.len() {
        let rejection = Configuration::parse(&bytes[..length]);
        assert!(
            matches!(rejection, Err(ConfigurationError::Unreadable(_))),
            "{length} bytes"
        );
    }
}

#[test]
fn a_document_that_is_no_json_object_is_rejected() {
    for bytes in [
        &b""[..],
        b"[]",
        b"null",
        b"7",
        b"{}",
        b"\xff\xfe",
        b"not json",
        b"{\"version\":7}",
    ] {
        assert!(Configuration::parse(bytes).is_err(), "{bytes:?}");
    }
    let mut with_more = text(&valid());
    with_more.extend(b"{}");
    assert!(Configuration::parse(&with_more).is_err());
}

#[test]
fn deep_nesting_is_rejected_without_overflow() {
    let bytes = [b"{\"other\":".to_vec(), vec![b'['; 1 << 20]].concat();
    assert!(Configuration::parse(&bytes).is_err());
}

#[test]
fn a_document_over_the_limit_is_rejected() {
    let bytes = vec![b' '; MAX_DOCUMENT_BYTES + 1];
    let rejection = Configuration::parse(&bytes).expect_err("too large");
    assert_eq!(
        rejection.faults().iter().next().expect("one fault").key,
        "document"
    );
}

#[test]
fn a_missing_key_is_named_with_its_path() {
    let cases = [
        ("", "version"),
        ("", "routes"),
        ("", "services"),
        ("", "limits"),
        ("/routes/1", "name"),
        ("/routes/1", "host"),
        ("/routes/1", "path_prefix"),
        ("/routes/1", "type"),
        ("/routes/1", "timeout_ms"),
        ("/routes/1", "service"),
        ("/routes/2", "weighted_services"),
        ("/services/1", "name"),
        ("/services/1", "max_connections"),
        ("/limits", "max_body_bytes"),
    ];
    for (pointer, key) in cases {
        let message = rejected(&without(pointer, key)).to_string();
        let path = pointer
            .trim_start_matches('/')
            .replace("/1", "[1]")
            .replace("/2", "[2]");
        assert!(
            message.contains(&path) && message.contains(&format!("`{key}`")),
            "{message}"
        );
    }
}

#[test]
fn a_wrong_type_is_named_with_its_path() {
    let cases = [
        ("/version", json!("7"), "version"),
        ("/version", json!(-7), "version"),
        ("/version", json!(7.5), "version"),
        ("/routes", json!({}), "routes"),
        ("/routes/1", json!("route"), "routes[1]"),
        ("/routes/1/host", json!(3), "routes[1].host"),
        ("/routes/1/type", json!("unary"), "routes[1].type"),
        (
            "/routes/1/timeout_ms",
            json!("5000"),
            "routes[1].timeout_ms",
        ),
        ("/routes/1/timeout_ms", json!(null), "routes[1].timeout_ms"),
        ("/routes/1/timeout_ms", json!(-1), "routes[1].timeout_ms"),
        ("/routes/1/timeout_ms", json!(1e300), "routes[1].timeout_ms"),
        (
            "/routes/1/max_attempts",
            json!(1.5),
            "routes[1].max_attempts",
        ),
        (
            "/routes/1/max_attempts",
            json!(1e15),
            "routes[1].max_attempts",
        ),
        ("/routes/1/retained", json!("true"), "routes[1].retained"),
        (
            "/routes/2/weighted_services/1/weight",
            json!("25"),
            "routes[2].weighted_services[1].weight",
        ),
        (
            "/services/0/max_connections",
            json!(true),
            "services[0].max_connections",
        ),
        (
            "/services/0/engine/chunk_size",
            json!("3"),
            "services[0].engine.chunk_size",
        ),
        (
            "/limits/idle_timeout_ms",
            json!([]),
            "limits.idle_timeout_ms",
        ),
    ];
    for (pointer, value, key) in cases {
        assert_eq!(
            faulty_keys(&with(pointer, value.clone())),
            [key],
            "{pointer} = {value}"
        );
    }
}

#[test]
fn a_value_that_is_not_allowed_is_named() {
    let cases = [
        ("/routes/0/timeout_ms", json!(0), "routes[0].timeout_ms"),
        ("/routes/0/timeout_ms", json!(0.0), "routes[0].timeout_ms"),
        ("/routes/0/service", json!("nobody"), "routes[0].service"),
        ("/routes/0/host", json!(""), "routes[0].host"),
        ("/routes/0/path_prefix", json!(""), "routes[0].path_prefix"),
        (
            "/routes/0/path_prefix",
            json!("/chat"),
            "routes[0].path_prefix",
        ),
        (
            "/routes/0/path_prefix",
            json!("chat/"),
            "routes[0].path_prefix",
        ),
        ("/routes/0/max_attempts", json!(0), "routes[0].max_attempts"),
        (
            "/routes/2/weighted_services",
            json!([]),
            "routes[2].weighted_services",
        ),
        (
            "/routes/2/weighted_services/0/weight",
            json!(-1),
            "routes[2].weighted_services[0].weight",
        ),
        (
            "/routes/2/weighted_services/1/service",
            json!("nobody"),
            "routes[2].weighted_services[1].service",
        ),
        ("/services/1/name", json!(""), "services[1].name"),
        (
            "/services/1/max_connections",
            json!(0),
            "services[1].max_connections",
        ),
        (
            "/services/0/engine/capacity",
            json!(0),
            "services[0].engine.capacity",
        ),
        (
            "/limits/max_header_bytes",
            json!(0),
            "limits.max_header_bytes",
        ),
    ];
    for (pointer, value, key) in cases {
        let keys = faulty_keys(&with(pointer, value.clone()));
        assert!(
            keys.iter().any(|found| found == key),
            "{pointer} = {value}: {keys:?}"
        );
    }
}

#[test]
fn weights_that_sum_to_zero_are_rejected() {
    let weights = json!([{"service": "models", "weight": 0}, {"service": "tools", "weight": 0}]);
    assert_eq!(
        faulty_keys(&with("/routes/2/weighted_services", weights)),
        ["routes[2].weighted_services"]
    );
}

#[test]
fn two_routes_with_the_same_host_and_prefix_are_rejected() {
    for host in ["front.example", "FRONT.example", "front.example:80"] {
        let mut duplicate = route("twin", "/look/", "streaming");
        duplicate["host"] = json!(host);
        let mut document = valid();
        document["routes"]
            .as_array_mut()
            .expect("a list")
            .push(duplicate);
        assert_eq!(faulty_keys(&document), ["routes[3].path_prefix"], "{host}");
    }
}

#[test]
fn two_services_with_one_name_are_rejected() {
    let mut document = valid();
    let duplicate = document["services"][1].clone();
    document["services"]
        .as_array_mut()
        .expect("a list")
        .push(duplicate);
    assert_eq!(faulty_keys(&document), ["services[2].name"]);
}

#[test]
fn a_duplicate_key_is_rejected() {
    let duplicated =
        String::from_utf8(text(&valid()))
            .expect("text")
            .replacen("{", "{\"version\":8,", 1);
    assert!(Configuration::parse(duplicated.as_bytes()).is_err());
}

#[test]
fn all_faults_are_named_at_once() {
    let mut document = with("/routes/0/timeout_ms", json!(0));
    document["routes"][1]["service"] = json!("nobody");
    document["limits"]["max_header_bytes"] = json!(0);
    let expected = [
        "limits.max_header_bytes",
        "routes[0].timeout_ms",
        "routes[1].service",
    ];
    assert_eq!(faulty_keys(&document), expected);
}

#[test]
fn a_version_that_is_not_above_the_current_one_is_rejected() {
    let configuration = Configuration::parse(&text(&valid())).expect("valid");
    assert!(configuration.check(0).is_ok());
    assert!(configuration.check(6).is_ok());
    for current in [7, 8, u64::MAX] {
        let rejection = configuration.check(current).expect_err("not above");
        assert_eq!(
            rejection.faults().iter().next().expect("one fault").key,
            "version"
        );
    }
}

#[test]
fn version_zero_is_always_rejected() {
    let configuration = Configuration::parse(&text(&with("/version", json!(0)))).expect("readable");
    assert!(configuration.check(0).is_err());
}

#[test]
fn any_bytes_are_read_or_rejected_without_a_panic() {
    let bytes = text(&valid());
    arbtest::arbtest(|source| {
        let mut changed = bytes.clone();
        for _ in 0..source.int_in_range(1..=4)? {
            let index = source.choose_index(changed.len())?;
            changed[index] = source.arbitrary()?;
        }
        let _ = Configuration::parse(&changed);
        Ok(())
    });
}

#[test]
fn a_key_of_any_value_is_read_or_rejected_without_a_panic() {
    let values = [
        json!(null),
        json!(0),
        json!(-1),
        json!(1e308),
        json!(""),
        json!([]),
        json!({}),
        json!(true),
    ];
    for pointer in [
        "",
        "/routes/0",
        "/routes/2",
        "/services/0",
        "/services/0/engine",
        "/limits",
    ] {
        let document = valid();
        let keys: Vec<String> = match document.pointer(pointer).and_then(Value::as_object) {
            Some(object) => object.keys().cloned().collect(),
            None => panic!("no object at {pointer}"),
        };
        for (key, value) in keys
            .iter()
            .flat_map(|key| values.iter().map(move |value| (key, value)))
        {
            let _ = Configuration::parse(&text(&with_key(pointer, key, value.clone())));
        }
    }
}
