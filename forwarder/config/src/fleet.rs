//! The fleet file, which `PROXY_FLEET` names: the instances of a fleet, their timing, and the replication between
//! them. Each error names its key and line.

use std::collections::BTreeSet;

use serde::Deserialize;
use toml::Spanned;

use crate::fields::ConfigResult;

mod checks;
mod kinds;

use kinds::{CopiesSection, InstanceSection, TimingSection};
pub use kinds::{Instance, ReplicationConfig, Timing};

/// The content of the fleet file. The modules `pools` and `fanout` read the sections of their names.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    pub name: String,
    pub instances: Vec<Instance>,
    pub timing: Timing,
    /// `None`: records are not replicated.
    pub replication: Option<ReplicationConfig>,
    /// Names of the control group's voters. The first one creates the group if `may_create_control_group` is set.
    pub voters: Vec<String>,
    pub pools: toml::Table,
    pub fanout: toml::Table,
    /// `PROXY_FLEET_FOUND=yes`: the first voter may create the control group.
    pub may_create_control_group: bool,
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
    instances: Spanned<Vec<Spanned<InstanceSection>>>,
    timing: Option<Spanned<TimingSection>>,
    copies: Option<Spanned<CopiesSection>>,
    control: Option<Spanned<ControlSection>>,
    #[serde(default)]
    pools: toml::Table,
    #[serde(default)]
    fanout: toml::Table,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ControlSection {
    voters: Vec<Spanned<String>>,
}

/// Reads the fleet file that `PROXY_FLEET` names; `None` if the variable is not set. `name` is the name of this
/// forwarder, which must be an instance of the fleet.
pub fn fleet(
    variable: impl Fn(&str) -> Option<String>,
    name: &str,
) -> ConfigResult<Option<FleetConfig>> {
    let Some(path) = variable("PROXY_FLEET") else {
        return Ok(None);
    };
    let text = std::fs::read_to_string(&path);
    let text = text.map_err(|e| format!("PROXY_FLEET: {path} cannot be read: {e}"))?;
    let mut fleet = read(&text).map_err(|e| format!("{path}: {e}"))?;
    fleet.may_create_control_group = match variable("PROXY_FLEET_FOUND").as_deref() {
        None | Some("no") => false,
        Some("yes") => true,
        Some(word) => return Err(format!("PROXY_FLEET_FOUND: {word:?} is neither yes nor no")),
    };
    match fleet.instance(name) {
        Some(_) => Ok(Some(fleet)),
        None => Err(format!(
            "{path}: instances: none is named {name:?}, the name given by PROXY_NAME or `name`"
        )),
    }
}

/// Parses and checks the text of a fleet file.
pub fn read(text: &str) -> ConfigResult<FleetConfig> {
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
            "instances: is empty".into(),
        ));
    }
    let at = file.timing.as_ref().map_or(0, |t| t.span().start);
    let timing = checks::timing(&file.timing.map(Spanned::into_inner).unwrap_or_default());
    let timing = timing.map_err(|why| fault(at, format!("timing.{why}")))?;
    let copies = file.copies.map(|section| {
        let at = section.span().start;
        checks::copies(section.get_ref(), &instances)
            .map_err(|why| fault(at, format!("copies.{why}")))
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
                format!("control.voters: {name:?} is not an instance"),
            ));
        }
        if !seen.insert(name.clone()) {
            return Err(fault(
                at,
                format!("control.voters: {name:?} is listed twice"),
            ));
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
        may_create_control_group: false,
    })
}
