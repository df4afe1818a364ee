//! Tests of parsing valid configurations.

mod common;

use std::time::Duration;

use plankhill_configuration::{Configuration, Document, Protocol, RouteKind, RouteServices};
use serde_json::{json, Value};

use common::{text, valid, with, with_key, without};

fn read(document: &Value) -> Configuration {
    Configuration::parse(&text(document)).expect("the configuration is valid")
}

#[test]
fn every_key_of_a_route_is_read() {
    let configuration = read(&valid());
    let chat = &configuration.routes[0];
    assert_eq!(configuration.version, 7);
    assert_eq!(
        (chat.name.as_ref(), chat.host.as_ref()),
        ("chat", "front.example")
    );
    assert_eq!(chat.path_prefix.as_ref(), "/chat/");
    assert_eq!(chat.kind, RouteKind::Streaming);
    assert_eq!(chat.timeout, Duration::from_secs(5));
    assert_eq!(chat.latency_target, Some(Duration::from_millis(250)));
    assert_eq!((chat.priority, chat.max_attempts), (0, 2));
    assert!(chat.retained && chat.session_affinity && !chat.resumable);
    assert_eq!(chat.retention, Duration::from_secs(60));
    assert_eq!(chat.event_gap_target, Some(Duration::from_millis(400)));
    assert_eq!(chat.services, RouteServices::One("models".into()));
}

#[test]
fn every_key_of_a_service_is_read() {
    let configuration = read(&valid());
    let models = &configuration.services[0];
    assert_eq!(
        (models.name.as_ref(), models.health_check.as_ref()),
        ("models", "/health")
    );
    assert_eq!(
        (models.max_connections, models.protocol, models.tls),
        (64, Protocol::H1, false)
    );
    let engine = models.engine.as_ref().expect("an engine is given");
    assert_eq!(
        (engine.capacity, engine.kv_capacity, engine.kv_token_bytes),
        (8, 40000, 131072)
    );
    assert_eq!((engine.bandwidth_mbps, engine.chunk_size), (1000.0, 3));
    assert_eq!(engine.models[0].name.as_ref(), "small");
    assert_eq!(configuration.services[1].engine, None);
}

#[test]
fn limits_are_read() {
    let limits = read(&valid()).limits;
    assert_eq!(
        (limits.max_header_bytes, limits.max_body_bytes),
        (16384, 1_048_576)
    );
    assert_eq!(limits.header_timeout, Duration::from_millis(2500));
    assert_eq!(limits.idle_timeout, Duration::from_secs(12));
}

#[test]
fn retryability_follows_from_kind_and_resumability() {
    let configuration = read(&with("/routes/0/resumable", json!(true)));
    let is_retryable_at = |index: usize| configuration.routes[index].is_retryable();
    assert_eq!(
        [is_retryable_at(0), is_retryable_at(1), is_retryable_at(2)],
        [true, true, false]
    );
    assert!(!read(&valid()).routes[0].is_retryable());
}

#[test]
fn optional_keys_may_be_missing_or_null() {
    let keys = [
        "target_latency_ms",
        "retained",
        "retention_s",
        "session_affinity",
        "resumable",
        "gap_aim_ms",
    ];
    for key in keys {
        read(&without("/routes/0", key));
        read(&with(&format!("/routes/0/{key}"), Value::Null));
    }
    read(&without("/routes/0", "priority"));
    read(&without("/routes/0", "max_attempts"));
    read(&without("/services/0", "engine"));
    read(&with("/services/0/engine", Value::Null));
}

#[test]
fn unknown_keys_are_skipped_everywhere() {
    for pointer in [
        "",
        "/routes/0",
        "/routes/2/weighted_services/0",
        "/services/0",
        "/services/0/engine",
        "/limits",
    ] {
        let document = with_key(pointer, "new_key", json!({"some": ["thing"]}));
        assert_eq!(read(&document), read(&valid()), "{pointer}");
    }
}

#[test]
fn integers_may_be_in_floating_point_notation() {
    let configuration = read(&with("/services/0/max_connections", json!(64.0)));
    assert_eq!(configuration.services[0].max_connections, 64);
    let configuration = read(&with("/routes/0/timeout_ms", json!(0.5)));
    assert_eq!(configuration.routes[0].timeout, Duration::from_micros(500));
}

#[test]
fn a_weight_of_zero_is_allowed_beside_positive_weights() {
    read(&with("/routes/2/weighted_services/0/weight", json!(0)));
}

#[test]
fn a_route_with_a_service_may_have_an_empty_or_null_weighted_list() {
    read(&with_key("/routes/0", "weighted_services", json!([])));
    read(&with_key("/routes/0", "weighted_services", Value::Null));
}

#[test]
fn a_configuration_without_routes_is_valid() {
    read(&with("/routes", json!([])));
}

#[test]
fn a_document_retains_its_original_bytes() {
    let mut bytes = b"  ".to_vec();
    bytes.extend(text(&valid()));
    bytes.extend(b"\n");
    let (document, configuration) = Document::parse(bytes.clone()).expect("valid");
    assert_eq!((document.version, configuration.version), (7, 7));
    assert_eq!(document.bytes.as_ref(), bytes);
    let wire = postcard::to_stdvec(&document).expect("a document can be sent");
    assert_eq!(
        postcard::from_bytes::<Document>(&wire).expect("and received"),
        document
    );
}
