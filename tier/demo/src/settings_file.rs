//! Rendering of the settings file of one process.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;

use crate::layout::{Machine, MachineClass, Role, PORT_RANGE, REGION, ZONES};

/// Time between two heartbeats of a target, in milliseconds.
pub const HEARTBEAT_MS: u64 = 1000;

/// Values of a settings file that the machine and the role do not determine.
pub struct SettingsContext<'a> {
    /// Admin addresses of the controllers.
    pub seeds: &'a [SocketAddr],
    /// True at the first start of the tier.
    pub bootstrap: bool,
    /// Data directory of the process.
    pub data_path: &'a Path,
}

/// Renders the settings file for `role` on `machine`.
pub fn render_settings(machine: &Machine, role: Role, context: &SettingsContext<'_>) -> String {
    let has_disk = machine.class != MachineClass::Edge;
    let serves = role
        .serves()
        .map(|interface| format!("{interface:?}"))
        .unwrap_or_default();
    let seeds: Vec<String> = context
        .seeds
        .iter()
        .map(|seed| format!("\"{seed}\""))
        .collect();
    let mut text = String::new();
    let mut line = |key: &str, value: String| {
        // Writing to a `String` never fails.
        let _ = writeln!(text, "{key} = {value}");
    };
    line("node_id", format!("{:?}", machine.name));
    line("role", format!("{:?}", role.name()));
    line("machine_class", format!("{:?}", machine.class.name()));
    line("serves", format!("[{serves}]"));
    line("ip", format!("\"{}\"", machine.ip));
    line("zone", format!("{:?}", machine.zone));
    line("region", format!("{REGION:?}"));
    line(
        "port_range",
        format!("[{}, {}]", PORT_RANGE.first, PORT_RANGE.last),
    );
    line("seed_nodes", format!("[{}]", seeds.join(", ")));
    line("bootstrap", context.bootstrap.to_string());
    line("counts_for_quorum", has_disk.to_string());
    if has_disk {
        line(
            "data_path",
            format!("{:?}", context.data_path.display().to_string()),
        );
    }
    line("heartbeat_ms", HEARTBEAT_MS.to_string());
    text + &render_tables(machine, role)
}

fn render_tables(machine: &Machine, role: Role) -> String {
    let zones: String = ZONES
        .iter()
        .map(|zone| format!("{zone} = {REGION:?}\n"))
        .collect();
    let listeners = match role {
        Role::Controller => format!("admin = \"{}\"\n", machine.admin_address()),
        Role::Proxy => format!(
            "http = \"{}\"\nreadiness = \"{}\"\n",
            machine.http_address(),
            machine.readiness_address()
        ),
        Role::Agent | Role::Store => String::new(),
    };
    let limits = "cpu_quota = 1.0\ncpus = 1\nmemory_mb = 256\nmax_fds = 1024\ndisk_mb = 256\n";
    let tolerance = "nodes = 1\nzones = 1\nregions = 0\n";
    format!("\n[zones]\n{zones}\n[listeners_map]\n{listeners}\n[limits]\n{limits}\n[fault_tolerance]\n{tolerance}")
}
