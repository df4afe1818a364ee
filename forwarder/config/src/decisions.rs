//! Reads the configuration of the decision module from the settings, which both wire formats share.

use plankhill_decisions::interface::*;
use serde_json::Value;

use crate::fields::*;

/// The names in the settings, in their order: the decision module receives positions, never names.
pub struct Names {
    pub traffic: Vec<String>,
    pub kinds: Vec<String>,
    pub zones: Vec<String>,
    pub members: Vec<String>,
    /// The sizes in the endpoint list are the rates that destinations accept, in calls per second.
    pub sizes_are_rates: bool,
    /// The column of a load report with the share of its limit that a target has left.
    pub limit_remaining_column: Option<usize>,
    /// Set if changes of the endpoint list are sent only on request: the time in milliseconds within which to
    /// request them again.
    pub list_request_interval: Option<Ms>,
}

/// The name, in load reports, of the share of its limit that a target has left.
pub const LIMIT_REMAINING_COLUMN: &str = "x0";

/// Reads the configuration of the decision module from the settings at `path`.
pub fn decision_config(
    env: &Object,
    path: &str,
    seed: u64,
) -> ConfigResult<(DecisionConfig, Names)> {
    read_decision_config(env, seed).map_err(|e| format!("{path}.{e}"))
}

fn read_decision_config(env: &Object, seed: u64) -> ConfigResult<(DecisionConfig, Names)> {
    let within = |what: &'static str| move |e: String| format!("{what}.{e}");
    let allowed = object(env, "allowed").map_err(within("allowed"))?;
    let rules = object(env, "rules").map_err(within("rules"))?;
    let family = object(env, "familyInfo").map_err(within("familyInfo"))?;
    let names_of = |field: &str| -> ConfigResult<Vec<String>> {
        let names = non_empty_list(env, field)?;
        names
            .iter()
            .map(|n| {
                Ok(n.as_str()
                    .ok_or(format!("{field}: a name is not a string"))?
                    .to_owned())
            })
            .collect()
    };
    let (mut members, mut quotas) = (Vec::new(), Vec::new());
    for (at, member) in optional_list(env, "projects")?.iter().enumerate() {
        let within = |e: String| format!("projects[{at}].{e}");
        let member = member
            .as_object()
            .ok_or_else(|| within("not an object".into()))?;
        members.push(text(member, "name").map_err(within)?.to_owned());
        quotas.push(positive(member, "quotaPerS").map_err(within)?);
    }
    let report = present(env, "report")
        .and_then(|r| r.get("columns"))
        .and_then(Value::as_array);
    let limit_remaining_column = report.and_then(|all| {
        all.iter()
            .position(|column| column == LIMIT_REMAINING_COLUMN)
    });
    let mut names = Names {
        traffic: Vec::new(),
        kinds: names_of("shapes")?,
        zones: names_of("zones")?,
        members,
        sizes_are_rates: is_rate_kind(optional_text(env, "weightKind")?),
        limit_remaining_column,
        list_request_interval: match optional_text(env, "discovery")? {
            Some("on_request") => {
                Some(optional_time(rules, "askWithinUs").map_err(within("rules"))?)
            }
            None | Some("pushed") => None,
            Some(other) => return Err(format!("discovery: unknown word {other:?}")),
        },
    };
    if let Some(zone) = optional_text(env, "zone")? {
        position_of(&names.zones, zone, "zone")?;
    }
    let mut traffic = Vec::new();
    for (at, profile) in non_empty_list(env, "profiles")?.iter().enumerate() {
        let within = |e: String| format!("profiles[{at}].{e}");
        let profile = profile
            .as_object()
            .ok_or_else(|| within("not an object".into()))?;
        let (name, kind) = traffic_type(profile).map_err(within)?;
        names.traffic.push(name);
        traffic.push(kind);
    }
    let independent_routes = family.get("kindApart").and_then(Value::as_array);
    let per_call = family.get("perCall").and_then(Value::as_array);
    let kinds = (0..names.kinds.len())
        .map(|k| DestinationKind {
            independent_routes: independent_routes
                .and_then(|a| a.get(k))
                .and_then(Value::as_bool)
                .unwrap_or(false),
            max_events_per_call: per_call
                .and_then(|p| p.get(k))
                .and_then(Value::as_u64)
                .unwrap_or(1) as usize,
        })
        .collect();
    let flag = |field: &str| allowed.get(field) == Some(&Value::Bool(true));
    let config = DecisionConfig {
        seed,
        instance: unsigned(env, "me")?,
        forwarder_count: number(env, "balancers")?,
        traffic_types: traffic,
        destination_kinds: kinds,
        max_calls_in_flight: count(family, "slots").map_err(within("familyInfo"))? as usize,
        event_capacity: count(allowed, "maxOpen").map_err(within("allowed"))? as usize,
        max_attempts: count(allowed, "attemptsCap").map_err(within("allowed"))? as u32,
        health_checks_allowed: flag("probes"),
        max_retry_after: flag("retryAfter")
            .then(|| optional_time(allowed, "maxRetryAfterUs"))
            .transpose()?,
        member_quotas: quotas,
        over_quota_value_weight: match present(env, "overShareWorth") {
            Some(_) => number(env, "overShareWorth")?,
            None => 1.0,
        },
        warm_up_initial_share: number(rules, "coldFrom").map_err(within("rules"))?,
        warm_up_duration: time(rules, "coldUs").map_err(within("rules"))?,
        overload_multiple: number(rules, "tipMultiple").map_err(within("rules"))?,
        key_cooldown: optional_time(rules, "keyQuietUs")?,
        tuning: Tuning::default(),
    };
    Ok((config, names))
}

fn traffic_type(profile: &Object) -> ConfigResult<(String, TrafficType)> {
    let effect = match text(profile, "semantics")? {
        "pure" => Idempotency::Idempotent,
        "token" => Idempotency::Deduplicated {
            window: time(profile, "windowUs")?,
            per_zone: optional_text(profile, "dedupScope")?.is_some_and(|scope| scope != "all"),
        },
        "side_effect" => Idempotency::NonIdempotent,
        other => return Err(format!("semantics: unknown word {other:?}")),
    };
    let traffic = TrafficType {
        idempotency: effect,
        soft_limit: time(profile, "aimUs")?,
        time_to_deadline: time(profile, "deadlineUs")?,
        value: number(profile, "credit")?,
        value_at_end: number(profile, "lateWorth")?,
        ordered: profile.get("serialByKey") == Some(&Value::Bool(true)),
    };
    Ok((text(profile, "name")?.to_owned(), traffic))
}

/// Whether sizes of this kind are the rates that destinations accept.
pub(crate) fn is_rate_kind(kind: Option<&str>) -> bool {
    matches!(kind, Some("nominal" | "rough"))
}

/// Parses the key of ordered events in the form of the wire formats.
pub fn order_key(digits: &str) -> ConfigResult<OrderKey> {
    u64::from_str_radix(digits, 16)
        .map(OrderKey)
        .map_err(|_| format!("{digits:?} is not a hexadecimal key"))
}
