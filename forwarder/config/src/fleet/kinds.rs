//! The types of a fleet's configuration, and the sections of the file they are read from.

use std::net::SocketAddr;

use plankhill_decisions::interface::Ms;
use serde::Deserialize;
use toml::Spanned;

/// A forwarder of the fleet, as the fleet file describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Instance {
    pub name: String,
    pub address: SocketAddr,
    pub machine: String,
    /// Empty if the file names no zone.
    pub zone: String,
}

/// Durations in milliseconds, checked against each other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    pub heartbeat: Ms,
    /// A voter promises its leader not to vote for another candidate within this time.
    pub election: Ms,
    /// A process that stalls for longer than this is killed by the kernel.
    pub stall: Ms,
    /// An instance that has been unreachable for this long is replaced in its groups.
    pub replace: Ms,
}

/// Limits on the records that an instance stores for other instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplicationConfig {
    /// Keepers of each record: 2f keepers tolerate f failures.
    pub keepers: usize,
    /// Bytes of memory and disk for the records of other instances. At either limit appends are refused; nothing
    /// is dropped.
    pub memory: u64,
    pub disk: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct InstanceSection {
    pub name: String,
    pub address: Spanned<String>,
    pub machine: String,
    #[serde(default)]
    pub zone: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct TimingSection {
    pub heartbeat_ms: f64,
    pub election_ms: f64,
    pub stall_ms: f64,
    pub replace_ms: f64,
}

impl Default for TimingSection {
    fn default() -> Self {
        TimingSection {
            heartbeat_ms: 100.0,
            election_ms: 1000.0,
            stall_ms: 600.0,
            replace_ms: 5000.0,
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct CopiesSection {
    pub keepers: usize,
    #[serde(default = "default_memory_mb")]
    pub memory_mb: f64,
    #[serde(default = "default_disk_mb")]
    pub disk_mb: f64,
}

fn default_memory_mb() -> f64 {
    256.0
}

fn default_disk_mb() -> f64 {
    1024.0
}
