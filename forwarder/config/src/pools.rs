//! The fleet file's `[pools]`: which policy holds for connections, read and checked against the settings' names.

use std::path::{Path, PathBuf};

use plankhill_connection_quotas::language::{KnownNames, Policy};

use crate::decisions::Names;
use crate::fields::Plain;
use crate::fleet::FleetConfig;

/// A policy that was found sound.
#[derive(Clone, Debug)]
pub struct QuotaPolicySource {
    pub path: PathBuf,
    pub text: String,
    pub policy: Policy,
}

/// What the fleet says, whose file is `file`; None, and nothing of it is started, where it names no
/// policy. A policy's path goes from the fleet file's folder.
pub fn pools(fleet: &FleetConfig, file: &str, names: &Names) -> Plain<Option<QuotaPolicySource>> {
    let table = &fleet.pools;
    if let Some(key) = table.keys().find(|key| *key != "policy") {
        return Err(format!("{file}: pools.{key}: is not known; policy is"));
    }
    let Some(path) = table.get("policy") else {
        return Ok(None);
    };
    let path = path.as_str().filter(|path| !path.is_empty());
    let path = path.ok_or_else(|| format!("{file}: pools.policy: not a path"))?;
    if fleet.voters.is_empty() {
        return Err(format!(
            "{file}: control.voters: are missing: the control group gives the parts of pools"
        ));
    }
    let path = Path::new(file).parent().unwrap_or(Path::new("")).join(path);
    read(path, names)
        .map_err(|why| format!("{file}: pools.policy: {why}"))
        .map(Some)
}

/// Reads a policy, the first time or again: its faults stand in a line each, with place, key and a way out.
pub fn read(path: PathBuf, names: &Names) -> Plain<QuotaPolicySource> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{name} cannot be read: {e}"))?;
    // Settings without members say nothing of their names.
    let members = Some(names.members.as_slice()).filter(|members| !members.is_empty());
    let known = KnownNames {
        kinds: Some(&names.kinds),
        zones: Some(&names.zones),
        members,
    };
    let policy = plankhill_connection_quotas::policy(&name, &text, &known)
        .map_err(|faults| faults.to_string())?;
    Ok(QuotaPolicySource { path, text, policy })
}
