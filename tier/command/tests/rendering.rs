//! Rendering of JSON as human-readable text.

use plankhill_tier::render;
use serde_json::json;

#[test]
fn keys_of_an_object_are_aligned() {
    let text = render(&json!({"in_view": true, "tail": null, "version": 7, "waiting": []}));
    assert_eq!(
        text,
        "in_view: yes\ntail:    -\nversion: 7\nwaiting: none\n"
    );
}

#[test]
fn lists_of_scalars_are_on_one_line() {
    assert_eq!(render(&json!({"chain": ["a", "b"]})), "chain: a, b\n");
}

#[test]
fn lists_of_flat_objects_are_tables() {
    let text = render(
        &json!({"edges": [{"lag": 0, "node": "edge-1"}, {"lag": 12, "node": "e2", "note": "slow"}]}),
    );
    assert_eq!(
        text,
        "edges:\n  lag  node    note\n  0    edge-1\n  12   e2      slow\n"
    );
}

#[test]
fn nested_objects_are_indented() {
    let text = render(&json!({"view": {"members": [{"ports": {"a": 1}}], "number": 3}}));
    assert_eq!(
        text,
        "view:\n  members:\n    -\n      ports:\n        a: 1\n  number: 3\n"
    );
}

#[test]
fn scalar_and_empty_documents_have_at_most_one_line() {
    assert_eq!(render(&json!("word")), "word\n");
    assert_eq!(render(&json!({})), "");
    assert_eq!(render(&json!([])), "");
}
