//! Where the settings say that controllers listen.

use std::net::{IpAddr, SocketAddr};

use plankhill_protocol::ports::PortRange;
use plankhill_settings::Settings;

/// The ports that the settings name.
pub(crate) fn ports(settings: &Settings) -> PortRange {
    PortRange { first: settings.port_range.first }
}

/// The seeds' machines at the controllers' internal port.
pub(crate) fn controllers(settings: &Settings) -> Vec<SocketAddr> {
    let ports = ports(settings);
    let ips = settings.seed_nodes.iter().filter_map(|seed| match seed.ip() {
        IpAddr::V4(ip) => Some(ip),
        IpAddr::V6(_) => None,
    });
    ips.map(|ip| ports.controller(ip)).collect()
}
