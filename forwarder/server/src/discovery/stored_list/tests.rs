//! The stored list after complete pages and pages of changes.

use rstest::rstest;
use serde_json::{json, Value};

use super::StoredList;

fn entry(id: &str, phase: &str) -> Value {
    json!({"id": id, "phase": phase, "cell": 7})
}

#[rstest]
fn a_page_changes_its_entries_and_a_complete_page_replaces_all() {
    let mut stored = StoredList::default();
    stored.apply(&json!({"revision": 1, "complete": true,
        "members": [entry("a", "up"), entry("b", "up")]}));
    stored.apply(&json!({"revision": 2, "complete": false,
        "members": [entry("a", "removed"), entry("b", "draining"), {"id": 5}]}));
    let value: Value = serde_json::from_str(&stored.text()).expect("JSON");
    assert_eq!(
        value,
        json!({"revision": 2, "complete": true, "members": [entry("b", "draining")]})
    );
    assert_eq!(
        stored.entries_bytes,
        entry("b", "draining").to_string().len() + 1
    );
    stored.apply(&json!({"revision": 3, "complete": true, "members": [entry("c", "up")]}));
    let value: Value = serde_json::from_str(&stored.text()).expect("JSON");
    assert_eq!(
        value,
        json!({"revision": 3, "complete": true, "members": [entry("c", "up")]})
    );
}
