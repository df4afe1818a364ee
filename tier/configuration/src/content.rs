//! Compares JSON documents by content.

use serde_json::{Number, Value};

/// Returns whether two JSON documents have the same content, regardless of key order, white space and
/// number format. Documents that are not valid JSON are equal only if their bytes are.
pub fn has_same_content(left: &[u8], right: &[u8]) -> bool {
    if left == right {
        return true;
    }
    match (serde_json::from_slice(left), serde_json::from_slice(right)) {
        (Ok(left), Ok(right)) => is_same_value(&left, &right),
        _ => false,
    }
}

fn is_same_value(left: &Value, right: &Value) -> bool {
    match (left, right) {
        (Value::Number(left), Value::Number(right)) => is_same_number(left, right),
        (Value::Array(left), Value::Array(right)) => {
            left.len() == right.len()
                && left
                    .iter()
                    .zip(right)
                    .all(|(left, right)| is_same_value(left, right))
        }
        (Value::Object(left), Value::Object(right)) => {
            let same_under = |(key, value)| {
                right
                    .get(key)
                    .is_some_and(|other| is_same_value(value, other))
            };
            left.len() == right.len() && left.iter().all(same_under)
        }
        _ => left == right,
    }
}

/// Compares two integers exactly, and any other pair of numbers as floating point (`60` and `60.0`).
fn is_same_number(left: &Number, right: &Number) -> bool {
    if left.is_f64() || right.is_f64() {
        left.as_f64() == right.as_f64()
    } else {
        left == right
    }
}
