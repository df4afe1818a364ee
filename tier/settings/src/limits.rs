//! The tables `[limits]` and `[fault_tolerance]`: what a process may use, and the losses that the
//! system tolerates.

use serde::Deserialize;
use validator::Validate;

/// Bytes in one megabyte, as the settings count them.
const BYTES_PER_MB: f64 = 1_000_000.0;

/// Bits in one megabit.
const BITS_PER_MBIT: f64 = 1_000_000.0;

/// Largest number of cores or processors accepted.
const MAX_CPUS: f64 = 4096.0;

/// Largest number of megabytes, or of megabits a second, accepted.
const MAX_MEGA: f64 = 1e9;

/// What one process may use of its machine.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize, Validate)]
pub struct Limits {
    /// Share of a core.
    #[serde(default = "one")]
    #[validate(range(exclusive_min = 0.0, max = MAX_CPUS, message = "must lie above 0 and be at most 4096"))]
    pub cpu_quota: f64,
    /// Speed of that core, as a multiple of the usual one.
    #[serde(default = "one")]
    #[validate(range(exclusive_min = 0.0, max = MAX_CPUS, message = "must lie above 0 and be at most 4096"))]
    pub cpus: f64,
    /// Memory in megabytes; a process that uses more is killed.
    #[validate(range(exclusive_min = 0.0, max = MAX_MEGA, message = "must lie above 0"))]
    pub memory_mb: f64,
    /// File descriptors, those reserved for files included.
    #[validate(range(min = 1, message = "must not be 0"))]
    pub max_fds: u64,
    /// Bandwidth of the machine's link in megabits a second; 0 stands for no limit.
    #[serde(default)]
    #[validate(range(min = 0.0, max = MAX_MEGA, message = "must not be negative"))]
    pub bandwidth_mbps: f64,
    /// Disk in megabytes; 0 where there is none.
    #[serde(default)]
    #[validate(range(min = 0.0, max = MAX_MEGA, message = "must not be negative"))]
    pub disk_mb: f64,
}

impl Limits {
    /// Memory in bytes.
    pub fn memory_bytes(&self) -> u64 {
        (self.memory_mb * BYTES_PER_MB) as u64
    }

    /// Disk in bytes; 0 where there is none.
    pub fn disk_bytes(&self) -> u64 {
        (self.disk_mb * BYTES_PER_MB) as u64
    }

    /// Bandwidth of the machine's link in bytes a second; `None` if it is not limited.
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

/// The losses that the system tolerates at once while it keeps all rules.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
pub struct FaultTolerance {
    /// Machines that count for a quorum.
    pub nodes: u32,
    /// Whole zones.
    #[serde(default)]
    pub zones: u32,
    /// Whole regions.
    #[serde(default)]
    pub regions: u32,
}
