//! The section `[fanout]` of the fleet file: lists of destinations, cohorts and retention limits. Without the
//! section nothing is broadcast. Each error names its key and line.

use std::collections::{BTreeMap, BTreeSet};

use plankhill_decisions::interface::DestinationId;
use plankhill_fanout::{Bounds, Layout, ListName};
use serde::Deserialize;

use crate::fields::ConfigResult;
use crate::fleet::FleetConfig;
use crate::tables::Text;

/// Limits on the cohorts and on the subscribers of all lists together: each of them is checked every second.
const MAX_COHORTS: u32 = 1024;
const MAX_SUBSCRIBERS: usize = 100_000;
/// The limit on the bytes of a list's name, which is part of a request's path.
const MAX_LIST_NAME_BYTES: usize = 64;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Section {
    lists: BTreeMap<String, Vec<u64>>,
    /// Groups of subscribers, each served by one instance. About as many as there are instances works well.
    #[serde(default = "three")]
    cohorts: u32,
    /// The number of these cohorts that are for slow subscribers; 0: no subscriber is regrouped.
    #[serde(default = "one")]
    slow_cohorts: u32,
    /// Copies for one subscriber that its instance has in progress at a time.
    #[serde(default = "two")]
    window: usize,
    /// The same for a slow subscriber.
    #[serde(default = "eight")]
    slow_window: usize,
    /// Limits on the retained copies, for one subscriber and for all subscribers.
    #[serde(default = "default_keep_for_one")]
    keep_for_one: usize,
    #[serde(default = "default_keep_in_all")]
    keep_in_all: usize,
    #[serde(default = "thousand")]
    broadcasts: usize,
    /// Megabytes of retained bodies.
    #[serde(default = "default_keep_mb")]
    keep_mb: f64,
    /// Copies that one instance has in progress at a time.
    #[serde(default = "thousand")]
    room: usize,
    #[serde(default = "four")]
    moves_at_once: usize,
    #[serde(default = "twenty")]
    moves_a_minute: usize,
}

fn one() -> u32 {
    1
}
fn two() -> usize {
    2
}
fn three() -> u32 {
    3
}
fn four() -> usize {
    4
}
fn eight() -> usize {
    8
}
fn twenty() -> usize {
    20
}
fn default_keep_for_one() -> usize {
    64
}
fn default_keep_in_all() -> usize {
    100_000
}
fn thousand() -> usize {
    1000
}
fn default_keep_mb() -> f64 {
    16.0
}

/// The first segment of a broadcast's path. No traffic type may have this name when lists are configured.
pub const BROADCAST: &str = "broadcast";

/// Reads the section from the file that `PROXY_FLEET` names, if there is a file with such a section.
pub fn from_fleet(
    variable: impl Fn(&str) -> Option<String>,
    fleet: Option<&FleetConfig>,
    traffic: &[String],
) -> ConfigResult<Option<Layout>> {
    let (Some(path), Some(fleet)) = (variable("PROXY_FLEET"), fleet) else {
        return Ok(None);
    };
    let file = Text::read(std::path::Path::new(&path))?;
    let Some(layout) = fanout(&file)? else {
        return Ok(None);
    };
    if fleet.voters.is_empty() {
        return Err(file.error_at(
            "fanout",
            "requires the control group, but control.voters is empty",
        ));
    }
    if !fleet.pools.is_empty() {
        // The control group's log records either leases or broadcasts; both together are not supported yet.
        return Err(file.error_at("fanout", "cannot be combined with a section pools"));
    }
    if fleet.replication.is_some() {
        // An instance that takes over a record would deliver copies that the control group has not assigned to that
        // instance.
        return Err(file.error_at("fanout", "cannot be combined with a section copies"));
    }
    if traffic.iter().any(|name| name == BROADCAST) {
        return Err(format!(
            "settings.profiles: {BROADCAST:?} is the path of broadcasts when lists are configured"
        ));
    }
    Ok(Some(layout))
}

/// Reads the section; `None` if the file has no such section.
pub fn fanout(file: &Text) -> ConfigResult<Option<Layout>> {
    let Some(value) = file.table().get("fanout") else {
        return Ok(None);
    };
    let section: Section = serde_path_to_error::deserialize(value.clone()).map_err(|e| {
        let inner = e.path().to_string();
        let key = if inner == "." {
            "fanout".to_owned()
        } else {
            format!("fanout.{inner}")
        };
        file.error_at(
            &key,
            &e.inner()
                .message()
                .split_whitespace()
                .collect::<Vec<_>>()
                .join(" "),
        )
    })?;
    check(section)
        .map(Some)
        .map_err(|(key, why)| file.error_at(&format!("fanout.{key}"), &why))
}

type Fault = (String, String);

fn within(key: &str, value: usize, least: usize, most: usize) -> Result<(), Fault> {
    match (least..=most).contains(&value) {
        true => Ok(()),
        false => Err((
            key.to_owned(),
            format!("{value} is not within {least} and {most}"),
        )),
    }
}

fn check(section: Section) -> Result<Layout, Fault> {
    let Section {
        cohorts,
        slow_cohorts,
        window,
        slow_window,
        keep_for_one,
        keep_in_all,
        broadcasts,
        room,
        ..
    } = section;
    within("cohorts", cohorts as usize, 1, MAX_COHORTS as usize)?;
    within(
        "slow_cohorts",
        slow_cohorts as usize,
        0,
        MAX_COHORTS as usize,
    )?;
    within("keep_for_one", keep_for_one, 1, 10_000)?;
    within("window", window, 1, keep_for_one)?;
    within("slow_window", slow_window, 1, keep_for_one)?;
    within("room", room, window.max(slow_window), 1_000_000)?;
    within("keep_in_all", keep_in_all, 1, 10_000_000)?;
    within("moves_at_once", section.moves_at_once, 1, 1000)?;
    within("moves_a_minute", section.moves_a_minute, 1, 10_000)?;
    // With fewer, the slowest subscriber alone could cause broadcasts to other subscribers to be refused.
    within("broadcasts", broadcasts, 2 * keep_for_one, 1_000_000)?;
    if !(0.1..=4096.0).contains(&section.keep_mb) {
        return Err((
            "keep_mb".into(),
            format!("{} is not within 0.1 and 4096", section.keep_mb),
        ));
    }
    let lists = lists(section.lists, keep_in_all)?;
    let bounds = Bounds {
        window,
        slow_window,
        kept_for_one: keep_for_one,
        kept_in_all: keep_in_all,
        broadcasts,
        body_bytes: (section.keep_mb * 1e6) as usize,
        room,
        moves_at_once: section.moves_at_once,
        moves_a_minute: section.moves_a_minute,
    };
    Ok(Layout {
        lists,
        cohorts,
        slow_cohorts,
        bounds,
    })
}

fn lists(
    configured: BTreeMap<String, Vec<u64>>,
    keep_in_all: usize,
) -> Result<Vec<(ListName, Vec<DestinationId>)>, Fault> {
    let mut lists = Vec::new();
    let mut all = BTreeSet::new();
    if configured.is_empty() {
        return Err(("lists".into(), "is empty".into()));
    }
    for (name, members) in configured {
        let error = |why: String| (format!("lists.{name}"), why);
        let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_');
        if name.is_empty() || name.len() > MAX_LIST_NAME_BYTES || !name.bytes().all(plain) {
            let why =
                format!("{name:?} is not 1 to {MAX_LIST_NAME_BYTES} letters, digits, - and _");
            return Err(("lists".into(), why));
        }
        if members.is_empty() {
            return Err(error("names no destination".into()));
        }
        if members.len() > keep_in_all {
            let why = format!(
                "{} destinations, but keep_in_all is {keep_in_all}",
                members.len()
            );
            return Err(error(why));
        }
        let mut own = BTreeSet::new();
        if let Some(twice) = members.iter().find(|member| !own.insert(**member)) {
            return Err(error(format!("destination {twice} is listed twice")));
        }
        all.extend(own);
        lists.push((
            ListName(name),
            members.into_iter().map(DestinationId).collect(),
        ));
    }
    match all.len() > MAX_SUBSCRIBERS {
        true => Err((
            "lists".into(),
            format!("{} destinations, the limit is {MAX_SUBSCRIBERS}", all.len()),
        )),
        false => Ok(lists),
    }
}
