//! A valid settings file, and a helper that replaces one of its lines.
#![allow(dead_code)] // Each test file uses only some of the helpers.

/// A valid settings file for a proxy.
pub const VALID: &str = r#"
node_id = "proxy-7"
role = "proxy"
machine_class = "edge"
serves = ["edge"]
ip = "127.0.0.7"
zone = "north"
region = "inland"
port_range = [9100, 9115]
seed_nodes = ["127.0.0.1:9001", "127.0.0.2:9001"]
bootstrap = true
counts_for_quorum = false
heartbeat_ms = 900
invariants = ["base", "not-known-here"]

[zones]
north = "inland"
south = "inland"
shore = "coast"

[listeners_map]
http = "127.0.0.7:9002"
readiness = "127.0.0.7:9003"

[limits]
cpu_quota = 0.25
cpus = 1
memory_mb = 260
max_fds = 4100
bandwidth_mbps = 800.0
disk_mb = 0

[fault_tolerance]
nodes = 1
zones = 0
regions = 0

[bounds]
drain_ms = 1500
catch_up_s = 4.4
"#;

/// Returns the valid file with the line of `key` replaced by `line`; an empty `line` leaves the key out.
pub fn with_line(key: &str, line: &str) -> String {
    let prefix = format!("{key} = ");
    assert!(
        VALID
            .lines()
            .any(|candidate| candidate.starts_with(&prefix)),
        "no line for {key}"
    );
    let lines = VALID
        .lines()
        .map(|old| if old.starts_with(&prefix) { line } else { old });
    lines.collect::<Vec<_>>().join("\n")
}
