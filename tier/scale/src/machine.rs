//! Figures of processes and of the loopback interface, as Linux tells them.

use std::time::Duration;

/// Clock ticks of a second in `/proc/PID/stat`, the same on all common systems.
const TICKS: f64 = 100.0;

/// What a process has used.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time since its start.
    pub processor: Duration,
    /// Memory that is resident, in bytes.
    pub memory: u64,
}

/// What the process has used; nothing if it has ended.
pub fn usage(pid: u32) -> Usage {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The name, which may hold anything, ends with the last bracket.
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|field| field.parse::<f64>().ok()).unwrap_or(0.0);
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = resident.and_then(|value| value.split_whitespace().next()?.parse::<u64>().ok());
    Usage {
        processor: Duration::from_secs_f64((ticks(11) + ticks(12)) / TICKS),
        memory: kilobytes.unwrap_or(0) * 1_024,
    }
}

/// Bytes that the loopback interface has carried since the machine's start.
pub fn loopback_bytes() -> u64 {
    let table = std::fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = table.lines().find_map(|line| line.trim_start().strip_prefix("lo:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}
