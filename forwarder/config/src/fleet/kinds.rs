//! The parts of a fleet, as told and as the file writes them.

use std::net::SocketAddr;

use plankhill_decisions::interface::Ms;
use serde::Deserialize;
use toml::Spanned;

/// A forwarder of the fleet, as its file names it.
#[derive(Clone, Debug, PartialEq)]
pub struct Instance {
    pub name: String,
    pub address: SocketAddr,
    pub machine: String,
    /// Empty where the file names none.
    pub zone: String,
}

/// Spans in milliseconds, checked against each other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    pub heartbeat: Ms,
    /// What a voter promises to its leader: no vote for another within it.
    pub election: Ms,
    /// A process that stood still for longer is ended by the kernel.
    pub stall: Ms,
    /// An instance that can't be reached for so long is replaced in its groups.
    pub replace: Ms,
}

/// What an instance keeps for others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplicationConfig {
    /// For each record: f failures are borne by 2f.
    pub keepers: usize,
    /// Bytes of memory and disk for the records of others; at them appends are refused, nothing is dropped.
    pub memory: u64,
    pub disk: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Row {
    pub name: String,
    pub address: Spanned<String>,
    pub machine: String,
    #[serde(default)]
    pub zone: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct Spans {
    pub heartbeat_ms: f64,
    pub election_ms: f64,
    pub stall_ms: f64,
    pub replace_ms: f64,
}

impl Default for Spans {
    fn default() -> Self {
        Spans {
            heartbeat_ms: 100.0,
            election_ms: 1000.0,
            stall_ms: 600.0,
            replace_ms: 5000.0,
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Kept {
    pub keepers: usize,
    #[serde(default = "of_memory")]
    pub memory_mb: f64,
    #[serde(default = "of_disk")]
    pub disk_mb: f64,
}

fn of_memory() -> f64 {
    256.0
}

fn of_disk() -> f64 {
    1024.0
}
