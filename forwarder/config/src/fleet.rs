//! The file that `PROXY_FLEET` names: the instances of a fleet, the spans between them and what they keep for
//! each other. Each fault is told with its key and line.

use std::collections::BTreeSet;

use serde::Deserialize;
use toml::Spanned;

use crate::fields::Plain;

mod checks;
mod kinds;

pub use kinds::{Instance, ReplicationConfig, Timing};
use kinds::{Kept, Row, Spans};

/// All that the file says. `pools` and `fanout` are read by those that they concern.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    pub name: String,
    pub instances: Vec<Instance>,
    pub timing: Timing,
    /// None: no record is copied.
    pub replication: Option<ReplicationConfig>,
    /// Names of the control group's voters; the first founds it when told so.
    pub voters: Vec<String>,
    pub pools: toml::Table,
    pub fanout: toml::Table,
    /// `PROXY_FLEET_FOUND=yes`: the first voter may found the control group.
    pub found: bool,
}

impl FleetConfig {
    pub fn instance(&self, name: &str) -> Option<&Instance> {
        self.instances.iter().find(|i| i.name == name)
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    fleet: Spanned<String>,
    instances: Spanned<Vec<Spanned<Row>>>,
    timing: Option<Spanned<Spans>>,
    copies: Option<Spanned<Kept>>,
    control: Option<Spanned<Control>>,
    #[serde(default)]
    pools: toml::Table,
    #[serde(default)]
    fanout: toml::Table,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Control {
    voters: Vec<Spanned<String>>,
}

/// What the variables name: None where `PROXY_FLEET` is not set. `name` is this forwarder's own.
pub fn fleet(variable: impl Fn(&str) -> Option<String>, name: &str) -> Plain<Option<FleetConfig>> {
    let Some(path) = variable("PROXY_FLEET") else {
        return Ok(None);
    };
    let text = std::fs::read_to_string(&path);
    let text = text.map_err(|e| format!("PROXY_FLEET: {path} cannot be read: {e}"))?;
    let mut fleet = read(&text).map_err(|e| format!("{path}: {e}"))?;
    fleet.found = match variable("PROXY_FLEET_FOUND").as_deref() {
        None | Some("no") => false,
        Some("yes") => true,
        Some(word) => return Err(format!("PROXY_FLEET_FOUND: {word:?} is neither yes nor no")),
    };
    match fleet.instance(name) {
        Some(_) => Ok(Some(fleet)),
        None => Err(format!(
            "{path}: instances: none is named {name:?}, as PROXY_NAME or name says"
        )),
    }
}

/// The file's text, checked.
pub fn read(text: &str) -> Plain<FleetConfig> {
    let file: File = toml::from_str(text).map_err(|e| match e.span() {
        Some(span) => format!("line {}: {}", checks::line(text, span.start), e.message()),
        None => e.message().to_owned(),
    })?;
    let fault = |at: usize, why: String| format!("line {}: {why}", checks::line(text, at));
    if file.fleet.get_ref().is_empty() {
        return Err(fault(file.fleet.span().start, "fleet: is empty".into()));
    }
    let instances = checks::instances(file.instances.get_ref(), &fault)?;
    if instances.is_empty() {
        return Err(fault(
            file.instances.span().start,
            "instances: none is named".into(),
        ));
    }
    let at = file.timing.as_ref().map_or(0, |t| t.span().start);
    let timing = checks::timing(&file.timing.map(Spanned::into_inner).unwrap_or_default());
    let timing = timing.map_err(|why| fault(at, format!("timing.{why}")))?;
    let copies = file.copies.map(|kept| {
        let at = kept.span().start;
        checks::copies(kept.get_ref(), &instances).map_err(|why| fault(at, format!("copies.{why}")))
    });
    let mut voters = Vec::new();
    let mut seen = BTreeSet::new();
    for voter in file
        .control
        .map(|c| c.into_inner().voters)
        .unwrap_or_default()
    {
        let (at, name) = (voter.span().start, voter.into_inner());
        if !instances.iter().any(|i| i.name == name) {
            return Err(fault(
                at,
                format!("control.voters: {name:?} is no instance"),
            ));
        }
        if !seen.insert(name.clone()) {
            return Err(fault(at, format!("control.voters: {name:?} stands twice")));
        }
        voters.push(name);
    }
    Ok(FleetConfig {
        name: file.fleet.into_inner(),
        instances,
        timing,
        replication: copies.transpose()?,
        voters,
        pools: file.pools,
        fanout: file.fanout,
        found: false,
    })
}
