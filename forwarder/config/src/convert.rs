//! An operator's `config.json` of the old shape turned into one of the new shape: no pings, load reports in
//! answers, rates in the list, second copies allowed. Pure: texts go in and come out, so that the command that
//! writes files can promise to write whole or not at all.

use serde_json::{json, Value};

use crate::decisions::{tells_rates, LEFT};
use crate::fields::*;
use crate::read_told;

/// The counterpart of a configuration.
pub struct Converted {
    pub config: Value,
    /// What was set, a line each: the key, what it was, what it is.
    pub set: Vec<String>,
    /// What the old file says that has no place in the new shape, or that somebody has to tell anew.
    pub left: Vec<String>,
}

/// What the new shape says, as the key's path and its value; a report tells the share that is left and the limit.
fn shape() -> [(&'static str, Value); 6] {
    [
        ("/settings/allowed/probes", json!(false)),
        ("/settings/allowed/mayDuplicate", json!(true)),
        ("/settings/weightKind", json!("nominal")),
        ("/settings/familyInfo/losesWorth", json!("halving")),
        ("/settings/report/via", json!("piggyback")),
        ("/settings/report/columns", json!([LEFT, "x1"])),
    ]
}

/// `retry_after` is whether a dismissal may say when to come back; as it was, if it is not said. Keys that are
/// not known here are kept as they are. A file that a forwarder would not start with is refused, as is a
/// counterpart that it would not start with; a file of the new shape comes back as it was.
pub fn convert(text: &str, retry_after: Option<bool>) -> Plain<Converted> {
    let mut config: Value = serde_json::from_str(text).map_err(|e| format!("not JSON: {e}"))?;
    starts(&config)?;
    let (mut set, mut left) = (Vec::new(), Vec::new());
    let told_sizes = tells_rates(config["settings"]["weightKind"].as_str());
    let retry_after = retry_after.map(|may| ("/settings/allowed/retryAfter", json!(may)));
    for (path, value) in shape().into_iter().chain(retry_after) {
        put(&mut config, path, value, &mut set)?;
    }
    if !told_sizes {
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
        left.push(format!(
            "known: {sizes} sizes are no rates and are dropped; discovery has to tell each destination's rate as `size`"
        ));
    }
    for (path, what) in [
        (
            "/settings/prices/probe",
            "pings are barred, their price has no use",
        ),
        (
            "/settings/prices/crossZone",
            "fees for crossing zones are not read",
        ),
        (
            "/settings/familyInfo/carriage",
            "fees for routes apart are not read",
        ),
    ] {
        let costs = |value: &Value| value.as_f64().is_some_and(|price| price != 0.0);
        let said = config.pointer(path);
        if said.is_some_and(|v| costs(v) || v.as_array().is_some_and(|all| all.iter().any(costs))) {
            left.push(format!("{}: kept, but {what}", key(path)));
        }
    }
    if config
        .pointer("/settings/projects")
        .and_then(Value::as_array)
        .is_none_or(Vec::is_empty)
    {
        left.push(
            "settings.projects: no members are told; all events count as inside their share".into(),
        );
    }
    starts(&config).map_err(|e| format!("its counterpart would not start: {e}"))?;
    Ok(Converted { config, set, left })
}

/// A forwarder starts with it, given the folder that no file names.
fn starts(config: &Value) -> Plain<()> {
    let root = config.as_object().ok_or("not an object")?;
    read_told(root, |name| (name == "PROXY_STATE").then(|| ".".into())).map(|_| ())
}

fn put(config: &mut Value, path: &str, value: Value, set: &mut Vec<String>) -> Plain<()> {
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
    set.push(format!("{}: {before} is {value} now", key(path)));
    *place = value;
    Ok(())
}

fn key(path: &str) -> String {
    path[1..].replace('/', ".")
}
