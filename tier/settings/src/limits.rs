//! The tables `[limits]` and `[fault_tolerance]`: the resource limits of a process, and the failures
//! that the system tolerates.

use serde::Deserialize;
use validator::Validate;

/// Bytes in one megabyte in the settings file.
const BYTES_PER_MB: f64 = 1_000_000.0;

/// Bits in one megabit.
const BITS_PER_MBIT: f64 = 1_000_000.0;

/// Largest accepted value of `cpu_quota` and `cpus`.
const MAX_CPUS: f64 = 4096.0;

/// Largest accepted number of megabytes or megabits per second.
const MAX_MEGA: f64 = 1e9;

/// Resource limits of one process.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize, Validate)]
pub struct Limits {
    /// Share of a core that the process may use.
    #[serde(default = "one")]
    #[validate(range(exclusive_min = 0.0, max = MAX_CPUS, message = "must be greater than 0 and at most 4096"))]
    pub cpu_quota: f64,
    /// Speed of that core relative to a standard core.
    #[serde(default = "one")]
    #[validate(range(exclusive_min = 0.0, max = MAX_CPUS, message = "must be greater than 0 and at most 4096"))]
    pub cpus: f64,
    /// Memory in megabytes; a process that uses more is killed.
    #[validate(range(exclusive_min = 0.0, max = MAX_MEGA, message = "must be greater than 0"))]
    pub memory_mb: f64,
    /// File descriptors, including those reserved for files.
    #[validate(range(min = 1, message = "must not be 0"))]
    pub max_fds: u64,
    /// Bandwidth of the machine's link in megabits per second; 0 means no limit.
    #[serde(default)]
    #[validate(range(min = 0.0, max = MAX_MEGA, message = "must not be negative"))]
    pub bandwidth_mbps: f64,
    /// Disk space in megabytes; 0 if the machine has no disk.
    #[serde(default)]
    #[validate(range(min = 0.0, max = MAX_MEGA, message = "must not be negative"))]
    pub disk_mb: f64,
}

impl Limits {
    /// Memory limit in bytes.
    pub fn memory_bytes(&self) -> u64 {
        (self.memory_mb * BYTES_PER_MB) as u64
    }

    /// Disk space in bytes; 0 if the machine has no disk.
    pub fn disk_bytes(&self) -> u64 {
        (self.disk_mb * BYTES_PER_MB) as u64
    }

    /// Bandwidth of the machine's link in bytes per second; `None` if it is not limited.
    pub fn bandwidth_bytes_per_second(&self) -> Option<u64> {
        if self.bandwidth_mbps > 0.0 {
            Some((self.bandwidth_mbps * BITS_PER_MBIT / 8.0) as u64)
        } else {
            None
        }
    }
}

fn one() -> f64 {
    1.0
}

/// The number of concurrent failures that the system tolerates without breaking its rules.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
pub struct FaultTolerance {
    /// Machines that count for a quorum.
    pub nodes: u32,
    /// Entire zones.
    #[serde(default)]
    pub zones: u32,
    /// Entire regions.
    #[serde(default)]
    pub regions: u32,
}
