//! Reads, checks and defaults the configuration of a forwarder: the settings, which both wire formats share, and
//! `config.json` with the `PROXY_*` variables. Every error message names the faulty key.

pub mod convert;
mod decisions;
pub mod experiment;
pub mod fanout;
pub mod fields;
pub mod fleet;
pub mod pools;
pub mod scenario;
pub mod tables;

use std::net::SocketAddr;
use std::path::PathBuf;

use plankhill_decisions::interface::*;
use serde_json::Value;

pub use decisions::{decision_config, order_key, Names, LIMIT_REMAINING_COLUMN};
use fields::*;

/// The configuration of a forwarder on sockets.
pub struct ForwarderConfig {
    pub name: String,
    pub listen_address: SocketAddr,
    /// The address of the operators' interface, if there is one.
    pub admin_address: Option<SocketAddr>,
    pub discovery_address: SocketAddr,
    pub state_folder: PathBuf,
    pub max_memory_bytes: u64,
    pub max_sockets: usize,
    pub max_disk_bytes: u64,
    /// The endpoint list as last known, in the format of the discovery service.
    pub known_endpoints: Value,
    pub decisions: DecisionConfig,
    pub names: Names,
    pub connect_timeout: Ms,
    /// Connections that have been idle for this long are closed, before the target closes them.
    pub idle_timeout: Ms,
    /// After a shutdown request, clients still connect for less than `min_shutdown_duration`, and the platform
    /// waits slightly longer than `shutdown_timeout`.
    pub min_shutdown_duration: Ms,
    pub shutdown_timeout: Ms,
    pub log_level: slog::Level,
    /// Whether a new version may take over from this process (`PROXY_HANDOVER`, `on` unless `off`). To be turned
    /// off where the platform provides no Unix socket: the process then starts and ends without a handover.
    pub hot_restart: bool,
    /// The fleet that this forwarder is an instance of (`PROXY_FLEET`); `None`: the fleet's components are not
    /// started.
    pub fleet: Option<fleet::FleetConfig>,
    /// The lists that broadcasts go to; `None` without a section `[fanout]` in the fleet file.
    pub fanout: Option<plankhill_fanout::Layout>,
    /// The quota policy for connections that the fleet file names; `None`: connection quotas are not started.
    pub connection_quotas: Option<pools::QuotaPolicySource>,
    /// The file's keys and values whose changes take effect only with a restart.
    restart_only: Vec<(String, Value)>,
}

impl ForwarderConfig {
    /// The names of traffic types, kinds and zones. The decision module refers to them by position.
    pub fn all_names(&self) -> [Vec<String>; 3] {
        [
            self.names.traffic.clone(),
            self.names.kinds.clone(),
            self.names.zones.clone(),
        ]
    }

    /// The keys of the file that differ from `before` and take effect only with a restart.
    pub fn needs_restart<'a>(
        &'a self,
        before: &'a ForwarderConfig,
    ) -> impl Iterator<Item = &'a str> {
        let differs = |a: &'a ForwarderConfig, b: &'a ForwarderConfig| {
            a.restart_only
                .iter()
                .filter(|pair| !b.restart_only.contains(pair))
        };
        let names = differs(self, before)
            .chain(differs(before, self))
            .map(|(key, _)| key.as_str());
        names.collect::<std::collections::BTreeSet<_>>().into_iter()
    }
}

/// Reads the file that `PROXY_CONFIG` names; the other `PROXY_*` variables take precedence over the file.
pub fn load_config(variable: impl Fn(&str) -> Option<String>) -> ConfigResult<ForwarderConfig> {
    let path = variable("PROXY_CONFIG").ok_or("PROXY_CONFIG: is not set")?;
    let bytes =
        std::fs::read(&path).map_err(|e| format!("PROXY_CONFIG: {path} cannot be read: {e}"))?;
    let root: Value =
        serde_json::from_slice(&bytes).map_err(|e| format!("{path}: not JSON: {e}"))?;
    let root = root
        .as_object()
        .ok_or_else(|| format!("{path}: not an object"))?;
    parse_config(root, variable).map_err(|e| format!("{path}: {e}"))
}

/// Reads the file again. Its `discovery` takes precedence over `PROXY_DISCOVERY` on a reload, because the
/// environment of a running process cannot be changed.
pub fn reload_config(variable: impl Fn(&str) -> Option<String>) -> ConfigResult<ForwarderConfig> {
    load_config(|name| variable(name).filter(|_| name != "PROXY_DISCOVERY"))
}

fn parse_config(
    root: &Object,
    variable: impl Fn(&str) -> Option<String>,
) -> ConfigResult<ForwarderConfig> {
    let either = |name: &str, field: &str| -> ConfigResult<(String, String)> {
        match variable(name) {
            Some(value) => Ok((name.to_owned(), value)),
            None => Ok((field.to_owned(), text(root, field)?.to_owned())),
        }
    };
    let address = |(name, value): (String, String)| -> ConfigResult<SocketAddr> {
        value
            .parse()
            .map_err(|_| format!("{name}: {value:?} is not an address with a port"))
    };
    let listen = address(either("PROXY_LISTEN", "listen")?)?;
    let has_mgmt = variable("PROXY_MGMT").is_some() || present(root, "mgmt").is_some();
    let mgmt = has_mgmt.then(|| either("PROXY_MGMT", "mgmt")).transpose()?;
    let mgmt = mgmt.map(|(name, value)| match address((name.clone(), value))? {
        // Each bind to port 0 gets a different free port.
        same if same == listen && same.port() != 0 => {
            Err(format!("{name}: {same} is the clients' address"))
        }
        other => Ok(other),
    });
    let seed = text(root, "seed")?;
    let seed =
        u64::from_str_radix(seed, 16).map_err(|_| format!("seed: {seed:?} is not hexadecimal"))?;
    let limits = object(root, "limits")?;
    let limit = |field: &str, least: f64| -> ConfigResult<f64> {
        let value = number(limits, field).map_err(|e| format!("limits.{e}"))?;
        Some(value)
            .filter(|v| *v >= least)
            .ok_or(format!("limits.{field}: {value} is under {least}"))
    };
    let settings = object(root, "settings")?;
    let allowed = object(settings, "allowed").map_err(|e| format!("settings.{e}"))?;
    let duration = |field: &str, default: Ms| -> ConfigResult<Ms> {
        let given = present(allowed, field)
            .map(|_| time(allowed, field))
            .transpose();
        Ok(given
            .map_err(|e| format!("settings.allowed.{e}"))?
            .unwrap_or(default))
    };
    let (mut decisions, names) = decision_config(settings, "settings", seed)?;
    // A call on sockets carries one event (`POST /receive`), regardless of the limit for the simulator's calls.
    decisions
        .destination_kinds
        .iter_mut()
        .for_each(|kind| kind.max_events_per_call = 1);
    let name = either("PROXY_NAME", "name")?.1;
    let fleet = fleet::fleet(&variable, &name)?;
    let pools = match &fleet {
        Some(fleet) => pools::pools(fleet, &variable("PROXY_FLEET").unwrap_or_default(), &names)?,
        None => None,
    };
    Ok(ForwarderConfig {
        connection_quotas: pools,
        fanout: fanout::from_fleet(&variable, fleet.as_ref(), &names.traffic)?,
        fleet,
        name,
        listen_address: listen,
        admin_address: mgmt.transpose()?,
        discovery_address: address(either("PROXY_DISCOVERY", "discovery")?)?,
        state_folder: variable("PROXY_STATE")
            .ok_or("PROXY_STATE: is not set")?
            .into(),
        max_memory_bytes: (limit("memory_mb", 16.0)? * 1e6) as u64,
        max_sockets: limit("sockets", 64.0)? as usize,
        max_disk_bytes: (limit("disk_mb", 0.25)? * 1e6) as u64,
        known_endpoints: present(root, "known").cloned().unwrap_or_default(),
        decisions,
        names,
        connect_timeout: duration("connectTimeoutUs", 1500.0)?,
        idle_timeout: 0.9 * duration("keepaliveUs", 15_000.0)?,
        min_shutdown_duration: 1_000.0,
        shutdown_timeout: 3_400.0,
        hot_restart: match variable("PROXY_HANDOVER").as_deref() {
            None | Some("on") => true,
            Some("off") => false,
            Some(word) => return Err(format!("PROXY_HANDOVER: {word:?} is neither on nor off")),
        },
        log_level: match variable("PROXY_LOG") {
            None => slog::Level::Info,
            Some(word) => word
                .parse()
                .map_err(|()| format!("PROXY_LOG: {word:?} is not a log level"))?,
        },
        // `discovery` can change with a reload; `known` is out of date once the discovery service has sent updates.
        restart_only: {
            let reloadable = |key: &str| matches!(key, "discovery" | "known");
            root.iter()
                .filter(|(key, _)| !reloadable(key))
                .map(|(k, v)| (k.clone(), v.clone()))
                .collect()
        },
    })
}
