//! The section `[pools]` of the fleet file: reads the quota policy for connections and checks it against the names
//! in the settings.

use std::path::{Path, PathBuf};

use plankhill_connection_quotas::language::{KnownNames, Policy};

use crate::decisions::Names;
use crate::fields::ConfigResult;
use crate::fleet::FleetConfig;

/// A policy that passed all checks.
#[derive(Clone, Debug)]
pub struct QuotaPolicySource {
    pub path: PathBuf,
    pub text: String,
    pub policy: Policy,
}

/// Reads the policy that the fleet file `file` names. `None` if the fleet names no policy; connection quotas are
/// not started then. The policy's path is relative to the fleet file's folder.
pub fn pools(
    fleet: &FleetConfig,
    file: &str,
    names: &Names,
) -> ConfigResult<Option<QuotaPolicySource>> {
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
            "{file}: control.voters: are missing: the control group grants the shares of the pools"
        ));
    }
    let path = Path::new(file).parent().unwrap_or(Path::new("")).join(path);
    read(path, names)
        .map_err(|why| format!("{file}: pools.policy: {why}"))
        .map(Some)
}

/// Reads a policy, at the start or on a reload. The error has one line for each fault, with its position, its key
/// and a remedy.
pub fn read(path: PathBuf, names: &Names) -> ConfigResult<QuotaPolicySource> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{name} cannot be read: {e}"))?;
    // Settings without members give no names to check against.
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
