//! The settings of one process.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use serde::{Deserialize, Deserializer};
use validator::{Validate, ValidationError};

use crate::{Bounds, FaultTolerance, Limits, Listeners, PortRange, Zones};

/// Maximum number of seed nodes; deployments have three.
const MAX_SEED_NODES: u64 = 64;

/// Maximum length of a node, role, zone or region name, in bytes.
const MAX_NAME_BYTES: u64 = 255;

/// Longest accepted heartbeat interval, in milliseconds (one hour).
const MAX_HEARTBEAT_MS: u64 = 3_600_000;

/// The settings of one process: the process itself, its machine, and the system it belongs to.
#[derive(Debug, Clone, PartialEq, Deserialize, Validate)]
pub struct Settings {
    /// Name of this machine, unique in the system.
    #[validate(length(min = 1, max = MAX_NAME_BYTES, message = "must have 1 to 255 bytes"))]
    pub node_id: String,
    /// Name of this process's role in the deploy file.
    #[validate(length(min = 1, max = MAX_NAME_BYTES, message = "must have 1 to 255 bytes"))]
    pub role: String,
    /// Class of this machine.
    pub machine_class: MachineClass,
    /// The interfaces that the role serves to callers outside the tier.
    #[serde(default)]
    pub serves: Vec<String>,
    /// Address of this machine, as advertised to others.
    #[validate(custom(function = check_address))]
    pub ip: Ipv4Addr,
    /// Address at which the process listens for other processes of the tier, if different from `ip`:
    /// others then reach `ip` through address translation or a proxy. Used by controllers.
    #[serde(default)]
    #[validate(custom(function = check_address))]
    pub bind_ip: Option<Ipv4Addr>,
    /// Zone of this machine.
    #[validate(length(min = 1, max = MAX_NAME_BYTES, message = "must have 1 to 255 bytes"))]
    pub zone: String,
    /// Region of the zone.
    #[validate(length(min = 1, max = MAX_NAME_BYTES, message = "must have 1 to 255 bytes"))]
    pub region: String,
    /// Ports for traffic between processes of the tier; the same on all machines.
    #[validate(custom(function = check_port_range))]
    pub port_range: PortRange,
    /// Addresses of some controllers, used to discover the others.
    #[serde(default)]
    #[validate(
        length(max = MAX_SEED_NODES, message = "must have at most 64 addresses"),
        custom(function = check_seed_nodes)
    )]
    pub seed_nodes: Vec<SocketAddr>,
    /// Whether this is the first start of the entire system.
    #[serde(default)]
    pub bootstrap: bool,
    /// Whether the loss of this machine counts against [`FaultTolerance::nodes`].
    #[serde(default)]
    pub counts_for_quorum: bool,
    /// Directory for this process's data, on machines with a disk.
    #[serde(default, deserialize_with = "optional_path")]
    pub data_path: Option<PathBuf>,
    /// Interval between heartbeats of a target, in milliseconds.
    #[validate(range(min = 1, max = MAX_HEARTBEAT_MS, message = "must be between 1 and 3600000"))]
    pub heartbeat_ms: u64,
    /// Names of the sets of rules in force; unknown names are allowed.
    #[serde(default)]
    pub invariants: Vec<String>,
    /// Region of each zone of the system.
    #[serde(default)]
    pub zones: Zones,
    /// Addresses at which this process serves callers outside the tier.
    #[serde(default)]
    pub listeners_map: Listeners,
    /// The resources that this process may use.
    #[validate(nested)]
    pub limits: Limits,
    /// The number of concurrent failures that the system tolerates.
    pub fault_tolerance: FaultTolerance,
    /// Time limits in the rules.
    #[serde(default)]
    #[validate(nested)]
    pub bounds: Bounds,
}

impl Settings {
    /// Interval between heartbeats of a target.
    pub fn heartbeat(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms)
    }

    /// Whether the set of rules called `name` is in force.
    pub fn has_invariant(&self, name: &str) -> bool {
        self.invariants.iter().any(|invariant| invariant == name)
    }

    /// Whether the role serves `interface` to callers outside the tier.
    pub fn serves(&self, interface: &str) -> bool {
        self.serves.iter().any(|served| served == interface)
    }
}

/// Class of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineClass {
    /// Serves clients; has no disk.
    Edge,
    /// Stores the control state.
    Core,
    /// Stores conversation turns and budgets.
    Storage,
    /// A class unknown to this version.
    #[serde(other)]
    Unknown,
}

/// Reads a path; an empty string means `None`.
fn optional_path<'de, D: Deserializer<'de>>(source: D) -> Result<Option<PathBuf>, D::Error> {
    let path = PathBuf::deserialize(source)?;
    Ok(Some(path).filter(|path| !path.as_os_str().is_empty()))
}

fn check_port_range(range: &PortRange) -> Result<(), ValidationError> {
    if range.first == 0 {
        return Err(invalid_value("the first port must not be 0"));
    }
    if range.first > range.last {
        return Err(invalid_value(
            "the first port must not be greater than the last",
        ));
    }
    Ok(())
}

fn check_address(address: &Ipv4Addr) -> Result<(), ValidationError> {
    if address.is_unspecified() || address.is_multicast() || address.is_broadcast() {
        return Err(invalid_value("must be the address of one machine"));
    }
    Ok(())
}

fn check_seed_nodes(seed_nodes: &[SocketAddr]) -> Result<(), ValidationError> {
    let is_reachable = |seed: &SocketAddr| {
        let ip = seed.ip();
        let is_broadcast = match ip {
            IpAddr::V4(ip) => ip.is_broadcast(),
            IpAddr::V6(_) => false,
        };
        seed.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !is_broadcast
    };
    match seed_nodes.iter().all(is_reachable) {
        true => Ok(()),
        false => Err(invalid_value(
            "each must be the address of one machine with a port",
        )),
    }
}

fn invalid_value(message: &'static str) -> ValidationError {
    ValidationError::new("value").with_message(message.into())
}
