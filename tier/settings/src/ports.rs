//! Assignment of the ports in the shared port range. All machines of a deployment use the same
//! range.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use serde::{Deserialize, Serialize};

use crate::Settings;

/// Offset of the controllers' internal port: chain replication, agent subscriptions and store
/// registrations.
const CONTROLLER_OFFSET: u16 = 0;
/// Offset of the stores' port: calls from proxies and from other stores.
const STORE_OFFSET: u16 = 1;
/// Offset of the agents' port on the machine's address: health checks (UDP) and peer subscriptions
/// (TCP).
const AGENT_OFFSET: u16 = 2;
/// Offset of the agents' port on the loopback address, for the proxy of the same machine.
const AGENT_LOOPBACK_OFFSET: u16 = 3;

/// The range of ports for traffic between processes of the tier, inclusive at both ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u16, u16)")]
pub struct PortRange {
    /// First port of the range.
    pub first: u16,
    /// Last port of the range.
    pub last: u16,
}

impl PortRange {
    /// Number of ports in the range.
    pub fn count(&self) -> usize {
        usize::from(self.last).saturating_sub(usize::from(self.first)) + 1
    }

    /// The port at `offset` from the first port, or `None` if it is past the end of the range.
    pub fn port(&self, offset: u16) -> Option<u16> {
        self.first
            .checked_add(offset)
            .filter(|port| *port <= self.last)
    }

    /// The address at which the controller on the machine `ip` listens for other processes of the
    /// tier.
    pub fn controller(self, ip: Ipv4Addr) -> SocketAddr {
        self.address(ip, CONTROLLER_OFFSET)
    }

    /// The addresses at which the controllers on the seed machines listen for other processes of the
    /// tier, in the order of `seeds`. Seeds with an IPv6 address are skipped.
    pub fn controllers(self, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
        let mut controllers = Vec::with_capacity(seeds.len());
        for seed in seeds {
            if let IpAddr::V4(ip) = seed.ip() {
                controllers.push(self.controller(ip));
            }
        }
        controllers
    }

    /// The address at which the store on the machine `ip` listens.
    pub fn store(self, ip: Ipv4Addr) -> SocketAddr {
        self.address(ip, STORE_OFFSET)
    }

    /// The address at which the agent on the machine `ip` listens for its peers.
    pub fn agent(self, ip: Ipv4Addr) -> SocketAddr {
        self.address(ip, AGENT_OFFSET)
    }

    /// The address at which the agent on the machine `ip` listens for the proxy of that machine.
    ///
    /// In tests, several machines run on one host with different loopback addresses. Such a machine
    /// uses its own address instead of `127.0.0.1`, so that the agents' listeners do not conflict.
    pub fn agent_loopback(self, ip: Ipv4Addr) -> SocketAddr {
        let loopback = if ip.is_loopback() {
            ip
        } else {
            Ipv4Addr::LOCALHOST
        };
        self.address(loopback, AGENT_LOOPBACK_OFFSET)
    }

    fn address(self, ip: Ipv4Addr, offset: u16) -> SocketAddr {
        SocketAddr::from((ip, self.first.saturating_add(offset)))
    }
}

impl From<(u16, u16)> for PortRange {
    fn from((first, last): (u16, u16)) -> Self {
        PortRange { first, last }
    }
}

impl Settings {
    /// The address at which this machine's controller listens for other processes of the tier.
    pub fn controller_address(&self) -> SocketAddr {
        self.port_range.controller(self.ip)
    }

    /// The address to which this machine's controller binds its listener: on `bind_ip` if it is set,
    /// otherwise on `ip`.
    pub fn controller_bind_address(&self) -> SocketAddr {
        self.port_range.controller(self.bind_ip.unwrap_or(self.ip))
    }

    /// The address at which this machine's store listens.
    pub fn store_address(&self) -> SocketAddr {
        self.port_range.store(self.ip)
    }

    /// The address at which this machine's agent listens for other agents.
    pub fn agent_address(&self) -> SocketAddr {
        self.port_range.agent(self.ip)
    }

    /// The address at which this machine's agent listens for the proxy of the machine.
    pub fn agent_loopback_address(&self) -> SocketAddr {
        self.port_range.agent_loopback(self.ip)
    }

    /// The addresses of the controllers on the seed machines ([`PortRange::controllers`]).
    pub fn seed_controllers(&self) -> Vec<SocketAddr> {
        self.port_range.controllers(&self.seed_nodes)
    }
}
