//! Reads a field of a JSON object as the required type. Error messages name the field.

use plankhill_decisions::interface::Ms;
use serde_json::{Map, Value};

pub type ConfigResult<T> = Result<T, String>;
pub type Object = Map<String, Value>;

pub fn position_of(names: &[String], name: &str, field: &str) -> ConfigResult<usize> {
    names
        .iter()
        .position(|n| n == name)
        .ok_or_else(|| format!("{field}: {name:?} is not in the settings"))
}

pub fn present<'a>(from: &'a Object, field: &str) -> Option<&'a Value> {
    from.get(field).filter(|value| !value.is_null())
}

pub fn object<'a>(from: &'a Object, field: &str) -> ConfigResult<&'a Object> {
    present(from, field)
        .and_then(Value::as_object)
        .ok_or_else(|| format!("{field}: an object is missing"))
}

pub fn list<'a>(from: &'a Object, field: &str) -> ConfigResult<&'a Vec<Value>> {
    present(from, field)
        .and_then(Value::as_array)
        .ok_or_else(|| format!("{field}: a list is missing"))
}

/// A list; empty if the field is missing.
pub fn optional_list<'a>(from: &'a Object, field: &str) -> ConfigResult<&'a [Value]> {
    present(from, field).map_or(Ok(&[]), |_| list(from, field).map(Vec::as_slice))
}

/// A number above 0.
pub fn positive(from: &Object, field: &str) -> ConfigResult<f64> {
    let value = number(from, field)?;
    Some(value)
        .filter(|v| *v > 0.0)
        .ok_or_else(|| format!("{field}: {value} is not above 0"))
}

/// A list that is not empty.
pub fn non_empty_list<'a>(from: &'a Object, field: &str) -> ConfigResult<&'a Vec<Value>> {
    Some(list(from, field)?)
        .filter(|all| !all.is_empty())
        .ok_or_else(|| format!("{field}: is empty"))
}

pub fn optional_text<'a>(from: &'a Object, field: &str) -> ConfigResult<Option<&'a str>> {
    present(from, field)
        .map(|v| v.as_str().ok_or_else(|| format!("{field}: not a string")))
        .transpose()
}

pub fn text<'a>(from: &'a Object, field: &str) -> ConfigResult<&'a str> {
    optional_text(from, field)?.ok_or_else(|| format!("{field}: is missing"))
}

pub fn optional_unsigned(from: &Object, field: &str) -> ConfigResult<Option<u64>> {
    present(from, field)
        .map(|v| {
            v.as_u64()
                .ok_or_else(|| format!("{field}: not a whole number"))
        })
        .transpose()
}

pub fn unsigned(from: &Object, field: &str) -> ConfigResult<u64> {
    optional_unsigned(from, field)?.ok_or_else(|| format!("{field}: is missing"))
}

/// A whole number of one or more.
pub fn count(from: &Object, field: &str) -> ConfigResult<u64> {
    Some(unsigned(from, field)?)
        .filter(|number| *number > 0)
        .ok_or_else(|| format!("{field}: is 0"))
}

pub fn number(from: &Object, field: &str) -> ConfigResult<f64> {
    present(from, field)
        .and_then(Value::as_f64)
        .ok_or_else(|| format!("{field}: a number is missing"))
}

pub fn optional_number(from: &Object, field: &str) -> ConfigResult<f64> {
    present(from, field).map_or(Ok(0.0), |_| number(from, field))
}

pub fn time(from: &Object, field: &str) -> ConfigResult<Ms> {
    Ok(number(from, field)? / 1000.0)
}

pub fn optional_time(from: &Object, field: &str) -> ConfigResult<Ms> {
    present(from, field).map_or(Ok(0.0), |_| time(from, field))
}
