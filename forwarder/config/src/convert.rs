//! Converts an operator's `config.json` from the old format to the new one: no health checks, load reports in
//! responses, rates in the endpoint list, duplicate copies allowed. The conversion does no I/O, so that the command
//! that writes the file can write it completely or not at all.

use serde_json::{json, Value};

use crate::decisions::{is_rate_kind, LIMIT_REMAINING_COLUMN};
use crate::fields::*;
use crate::parse_config;

/// A configuration in the new format, with a report of the changes.
pub struct Converted {
    pub config: Value,
    /// The changed settings, one line each: key, old value, new value.
    pub changed: Vec<String>,
    /// Settings of the old file that have no equivalent in the new format, or that have to be provided again.
    pub not_converted: Vec<String>,
}

/// The values that the new format sets, by the path of their key. Load reports contain the remaining share of the
/// limit and the limit.
fn new_format() -> [(&'static str, Value); 6] {
    [
        ("/settings/allowed/probes", json!(false)),
        ("/settings/allowed/mayDuplicate", json!(true)),
        ("/settings/weightKind", json!("nominal")),
        ("/settings/familyInfo/losesWorth", json!("halving")),
        ("/settings/report/via", json!("piggyback")),
        (
            "/settings/report/columns",
            json!([LIMIT_REMAINING_COLUMN, "x1"]),
        ),
    ]
}

/// Converts a configuration. `retry_after` is whether a rejection may carry a retry-after; `None` keeps the setting.
/// Unknown keys are kept. A file that a forwarder would not start with is refused, and so is a file whose
/// conversion a forwarder would not start with. A file that is already in the new format is returned unchanged.
pub fn convert(text: &str, retry_after: Option<bool>) -> ConfigResult<Converted> {
    let mut config: Value = serde_json::from_str(text).map_err(|e| format!("not JSON: {e}"))?;
    check_loads(&config)?;
    let (mut changed, mut not_converted) = (Vec::new(), Vec::new());
    let has_rates = is_rate_kind(config["settings"]["weightKind"].as_str());
    let retry_after = retry_after.map(|may| ("/settings/allowed/retryAfter", json!(may)));
    for (path, value) in new_format().into_iter().chain(retry_after) {
        put(&mut config, path, value, &mut changed)?;
    }
    if !has_rates {
        let mut sizes = 0;
        let members = config
            .pointer_mut("/known/members")
            .and_then(Value::as_array_mut);
        for member in members
            .into_iter()
            .flatten()
            .filter_map(Value::as_object_mut)
        {
            sizes += member.remove("size").is_some() as usize;
        }
        not_converted.push(format!(
            "known: {sizes} sizes are no rates and are dropped; discovery has to provide each destination's rate as `size`"
        ));
    }
    for (path, what) in [
        (
            "/settings/prices/probe",
            "pings are barred, their price is not used",
        ),
        (
            "/settings/prices/crossZone",
            "fees for crossing zones are not read",
        ),
        (
            "/settings/familyInfo/carriage",
            "fees for independent routes are not read",
        ),
    ] {
        let is_nonzero = |value: &Value| value.as_f64().is_some_and(|price| price != 0.0);
        let price = config.pointer(path);
        if price.is_some_and(|v| {
            is_nonzero(v) || v.as_array().is_some_and(|all| all.iter().any(is_nonzero))
        }) {
            not_converted.push(format!("{}: kept, but {what}", key(path)));
        }
    }
    if config
        .pointer("/settings/projects")
        .and_then(Value::as_array)
        .is_none_or(Vec::is_empty)
    {
        not_converted.push(
            "settings.projects: no members are configured; all events count as within their quota"
                .into(),
        );
    }
    check_loads(&config).map_err(|e| {
        format!("a forwarder would not start with the converted configuration: {e}")
    })?;
    Ok(Converted {
        config,
        changed,
        not_converted,
    })
}

/// Checks that a forwarder would start with the configuration, given a state folder, which no file names.
fn check_loads(config: &Value) -> ConfigResult<()> {
    let root = config.as_object().ok_or("not an object")?;
    parse_config(root, |name| (name == "PROXY_STATE").then(|| ".".into())).map(|_| ())
}

fn put(
    config: &mut Value,
    path: &str,
    value: Value,
    changed: &mut Vec<String>,
) -> ConfigResult<()> {
    let before = config.pointer(path).cloned().unwrap_or_default();
    if before == value {
        return Ok(());
    }
    let mut place = config;
    for step in path.split('/').skip(1) {
        let table = if place.is_null() {
            json!({})
        } else {
            place.take()
        };
        *place = table;
        let table = place
            .as_object_mut()
            .ok_or_else(|| format!("{}: not in an object", key(path)))?;
        place = table.entry(step).or_insert(Value::Null);
    }
    changed.push(format!("{}: {before} is {value} now", key(path)));
    *place = value;
    Ok(())
}

fn key(path: &str) -> String {
    path[1..].replace('/', ".")
}
