use super::*;
use rstest::rstest;
use serde_json::json;

fn entry(id: &str, phase: &str) -> Value {
    json!({"id": id, "phase": phase, "cell": 7})
}

#[rstest]
fn pages_change_what_they_name_and_a_whole_one_replaces_all() {
    let mut kept = Kept::default();
    kept.take(
        &json!({"revision": 1, "complete": true, "members": [entry("a", "up"), entry("b", "up")]}),
    );
    kept.take(&json!({"revision": 2, "complete": false, "members": [entry("a", "removed"), entry("b", "draining"), {"id": 5}]}));
    let value: Value = serde_json::from_str(&kept.text()).expect("JSON");
    assert_eq!(
        value,
        json!({"revision": 2, "complete": true, "members": [entry("b", "draining")]})
    );
    assert_eq!(kept.size, entry("b", "draining").to_string().len() + 1);
    kept.take(&json!({"revision": 3, "complete": true, "members": [entry("c", "up")]}));
    let value: Value = serde_json::from_str(&kept.text()).expect("JSON");
    assert_eq!(
        value,
        json!({"revision": 3, "complete": true, "members": [entry("c", "up")]})
    );
}
