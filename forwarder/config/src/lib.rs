//! The one place that reads, checks and defaults what a forwarder is told: the settings that both wires
//! share, and `config.json` with the `PROXY_*` variables. Every message names the faulty key.

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

pub use decisions::{decision_config, order_key, Names, LEFT};
use fields::*;

/// All that a forwarder on sockets is told at its start.
pub struct ForwarderConfig {
    pub name: String,
    pub listen_address: SocketAddr,
    /// Where operators call, if they do.
    pub admin_address: Option<SocketAddr>,
    pub discovery_address: SocketAddr,
    pub state_folder: PathBuf,
    pub max_memory_bytes: u64,
    pub max_sockets: usize,
    pub max_disk_bytes: u64,
    /// The list of targets as it was last had, in discovery's form.
    pub known_endpoints: Value,
    pub decisions: DecisionConfig,
    pub names: Names,
    pub connect_timeout: Ms,
    /// Connections that stand idle for so long are closed: before the target does.
    pub idle_timeout: Ms,
    /// After a request to end, clients still come for less than `closing_least`, and the platform waits for
    /// a little more than `closing_time`.
    pub min_shutdown_duration: Ms,
    pub shutdown_timeout: Ms,
    pub log_level: slog::Level,
    /// Whether a new version may take over from this process (`PROXY_HANDOVER`, `on` unless `off`). Off where
    /// the platform gives no Unix socket: the process then starts and ends as one on its own.
    pub hot_restart: bool,
    /// The fleet that it is an instance of (`PROXY_FLEET`): None, and nothing of it is started.
    pub fleet: Option<fleet::FleetConfig>,
    /// Lists that are broadcast to: None without a section `[fanout]` of the fleet's file.
    pub fanout: Option<plankhill_fanout::Layout>,
    /// The policy for connections that the fleet file names: None, and nothing of it is started.
    pub connection_quotas: Option<pools::QuotaPolicySource>,
    /// What the file says that only a new start heeds.
    fixed: Vec<(String, Value)>,
}

impl ForwarderConfig {
    /// Traffic types, kinds and zones, whose positions the decisions keep.
    pub fn all_names(&self) -> [Vec<String>; 3] {
        [
            self.names.traffic.clone(),
            self.names.kinds.clone(),
            self.names.zones.clone(),
        ]
    }

    /// The keys of the file with another value than before that take effect only with a new start.
    pub fn needs_restart<'a>(
        &'a self,
        before: &'a ForwarderConfig,
    ) -> impl Iterator<Item = &'a str> {
        let differs = |a: &'a ForwarderConfig, b: &'a ForwarderConfig| {
            a.fixed.iter().filter(|pair| !b.fixed.contains(pair))
        };
        let names = differs(self, before)
            .chain(differs(before, self))
            .map(|(key, _)| key.as_str());
        names.collect::<std::collections::BTreeSet<_>>().into_iter()
    }
}

/// Reads the file that `PROXY_CONFIG` names; the other `PROXY_*` variables go before what it says.
pub fn load_config(variable: impl Fn(&str) -> Option<String>) -> Plain<ForwarderConfig> {
    let path = variable("PROXY_CONFIG").ok_or("PROXY_CONFIG: is not set")?;
    let bytes =
        std::fs::read(&path).map_err(|e| format!("PROXY_CONFIG: {path} cannot be read: {e}"))?;
    let root: Value =
        serde_json::from_slice(&bytes).map_err(|e| format!("{path}: not JSON: {e}"))?;
    let root = root
        .as_object()
        .ok_or_else(|| format!("{path}: not an object"))?;
    read_told(root, variable).map_err(|e| format!("{path}: {e}"))
}

/// Reads the file anew. Its `discovery` goes before the variable now, which a process cannot be given anew.
pub fn reload_config(variable: impl Fn(&str) -> Option<String>) -> Plain<ForwarderConfig> {
    load_config(|name| variable(name).filter(|_| name != "PROXY_DISCOVERY"))
}

fn read_told(root: &Object, variable: impl Fn(&str) -> Option<String>) -> Plain<ForwarderConfig> {
    let either = |name: &str, field: &str| -> Plain<(String, String)> {
        match variable(name) {
            Some(value) => Ok((name.to_owned(), value)),
            None => Ok((field.to_owned(), text(root, field)?.to_owned())),
        }
    };
    let address = |(name, value): (String, String)| -> Plain<SocketAddr> {
        value
            .parse()
            .map_err(|_| format!("{name}: {value:?} is not an address with a port"))
    };
    let listen = address(either("PROXY_LISTEN", "listen")?)?;
    let there = variable("PROXY_MGMT").is_some() || present(root, "mgmt").is_some();
    let mgmt = there.then(|| either("PROXY_MGMT", "mgmt")).transpose()?;
    let mgmt = mgmt.map(|(name, value)| match address((name.clone(), value))? {
        // Any port is another one each time.
        same if same == listen && same.port() != 0 => {
            Err(format!("{name}: {same} is the clients' address"))
        }
        other => Ok(other),
    });
    let seed = text(root, "seed")?;
    let seed =
        u64::from_str_radix(seed, 16).map_err(|_| format!("seed: {seed:?} is not hexadecimal"))?;
    let limits = object(root, "limits")?;
    let limit = |field: &str, least: f64| -> Plain<f64> {
        let value = number(limits, field).map_err(|e| format!("limits.{e}"))?;
        Some(value)
            .filter(|v| *v >= least)
            .ok_or(format!("limits.{field}: {value} is under {least}"))
    };
    let settings = object(root, "settings")?;
    let allowed = object(settings, "allowed").map_err(|e| format!("settings.{e}"))?;
    let span = |field: &str, default: Ms| -> Plain<Ms> {
        let given = present(allowed, field)
            .map(|_| time(allowed, field))
            .transpose();
        Ok(given
            .map_err(|e| format!("settings.allowed.{e}"))?
            .unwrap_or(default))
    };
    let (mut terms, names) = decision_config(settings, "settings", seed)?;
    // A call on sockets carries one event (`POST /receive`), whatever a call of the simulator may.
    terms
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
        fanout: fanout::of_fleet(&variable, fleet.as_ref(), &names.traffic)?,
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
        decisions: terms,
        names,
        connect_timeout: span("connectTimeoutUs", 1500.0)?,
        idle_timeout: 0.9 * span("keepaliveUs", 15_000.0)?,
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
        // The list goes on from what discovery said since.
        fixed: {
            let moving = |key: &str| matches!(key, "discovery" | "known");
            root.iter()
                .filter(|(key, _)| !moving(key))
                .map(|(k, v)| (k.clone(), v.clone()))
                .collect()
        },
    })
}
