//! The terms of the decisions, read out of the settings that both wires share.

use plankhill_decisions::interface::*;
use serde_json::Value;

use crate::fields::*;

/// The names of the settings in their order: the module is handed positions, never names.
pub struct Names {
    pub traffic: Vec<String>,
    pub kinds: Vec<String>,
    pub zones: Vec<String>,
    pub members: Vec<String>,
    /// The sizes that the list gives are the rates that destinations take, in calls a second.
    pub sizes_are_rates: bool,
    /// The place in a load report of the share of its limit that a target has left.
    pub left_at: Option<usize>,
    /// The list's changes are told only while asked for; by when to ask again (milliseconds), if they are.
    pub ask_within: Option<Ms>,
}

/// The name, in load reports, of the share of its limit that a target has left.
pub const LEFT: &str = "x0";

/// The terms of the decisions out of the settings, which stand at `path`.
pub fn decision_config(env: &Object, path: &str, seed: u64) -> Plain<(DecisionConfig, Names)> {
    read_terms(env, seed).map_err(|e| format!("{path}.{e}"))
}

fn read_terms(env: &Object, seed: u64) -> Plain<(DecisionConfig, Names)> {
    let within = |what: &'static str| move |e: String| format!("{what}.{e}");
    let allowed = object(env, "allowed").map_err(within("allowed"))?;
    let rules = object(env, "rules").map_err(within("rules"))?;
    let family = object(env, "familyInfo").map_err(within("familyInfo"))?;
    let names_of = |field: &str| -> Plain<Vec<String>> {
        let names = some(env, field)?;
        names
            .iter()
            .map(|n| {
                Ok(n.as_str()
                    .ok_or(format!("{field}: a name is no text"))?
                    .to_owned())
            })
            .collect()
    };
    let (mut members, mut shares) = (Vec::new(), Vec::new());
    for (at, member) in optional_list(env, "projects")?.iter().enumerate() {
        let within = |e: String| format!("projects[{at}].{e}");
        let member = member
            .as_object()
            .ok_or_else(|| within("not an object".into()))?;
        members.push(text(member, "name").map_err(within)?.to_owned());
        shares.push(positive(member, "quotaPerS").map_err(within)?);
    }
    let report = present(env, "report")
        .and_then(|r| r.get("columns"))
        .and_then(Value::as_array);
    let left_at = report.and_then(|all| all.iter().position(|column| column == LEFT));
    let mut names = Names {
        traffic: Vec::new(),
        kinds: names_of("shapes")?,
        zones: names_of("zones")?,
        members,
        sizes_are_rates: tells_rates(optional_text(env, "weightKind")?),
        left_at,
        ask_within: match optional_text(env, "discovery")? {
            Some("on_request") => {
                Some(optional_time(rules, "askWithinUs").map_err(within("rules"))?)
            }
            None | Some("pushed") => None,
            Some(other) => return Err(format!("discovery: unknown word {other:?}")),
        },
    };
    if let Some(zone) = optional_text(env, "zone")? {
        place(&names.zones, zone, "zone")?;
    }
    let mut traffic = Vec::new();
    for (at, profile) in some(env, "profiles")?.iter().enumerate() {
        let within = |e: String| format!("profiles[{at}].{e}");
        let profile = profile
            .as_object()
            .ok_or_else(|| within("not an object".into()))?;
        let (name, kind) = traffic_type(profile).map_err(within)?;
        names.traffic.push(name);
        traffic.push(kind);
    }
    let apart = family.get("kindApart").and_then(Value::as_array);
    let per_call = family.get("perCall").and_then(Value::as_array);
    let kinds = (0..names.kinds.len())
        .map(|k| DestinationKind {
            independent_routes: apart
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
    let terms = DecisionConfig {
        seed,
        instance: whole(env, "me")?,
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
        member_quotas: shares,
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
    Ok((terms, names))
}

fn traffic_type(profile: &Object) -> Plain<(String, TrafficType)> {
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
        patience: time(profile, "deadlineUs")?,
        value: number(profile, "credit")?,
        value_at_end: number(profile, "lateWorth")?,
        ordered: profile.get("serialByKey") == Some(&Value::Bool(true)),
    };
    Ok((text(profile, "name")?.to_owned(), traffic))
}

/// Whether sizes of that kind are the rates that destinations take.
pub(crate) fn tells_rates(kind: Option<&str>) -> bool {
    matches!(kind, Some("nominal" | "rough"))
}

/// The key of ordered events, as the wires write it.
pub fn order_key(digits: &str) -> Plain<OrderKey> {
    u64::from_str_radix(digits, 16)
        .map(OrderKey)
        .map_err(|_| format!("{digits:?} is not a hexadecimal key"))
}
