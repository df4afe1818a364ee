//! Where the settings say that controllers listen.

use std::net::SocketAddr;

use plankhill_protocol::ports::PortRange;
use plankhill_settings::Settings;

/// The ports that the settings name.
pub(crate) fn ports(settings: &Settings) -> PortRange {
    PortRange {
        first: settings.port_range.first,
    }
}

/// The seeds' machines at the controllers' internal port.
pub(crate) fn controllers(settings: &Settings) -> Vec<SocketAddr> {
    ports(settings).controllers(&settings.seed_nodes)
}
