//! Which port of the machines' common range carries what. All machines of a deployment share one range.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, SocketAddrV4};

/// Offset of the controllers' own port: chain, subscriptions of agents, registrations of stores.
const CONTROLLER: u16 = 0;
/// Offset of the stores' port: calls of proxies and of other stores.
const STORE: u16 = 1;
/// Offset of the agents' port on the machine's address: probes (UDP) and subscriptions of peers (TCP).
const AGENT: u16 = 2;
/// Offset of the agents' port on the loopback address, for the proxy of the same machine.
const LOOPBACK: u16 = 3;

/// The first port of the range that the settings name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PortRange {
    /// The first port of the range.
    pub first: u16,
}

impl PortRange {
    /// Where the controller on a machine listens for other processes of the tier.
    pub fn controller(self, ip: Ipv4Addr) -> SocketAddr {
        self.at(ip, CONTROLLER)
    }

    /// Where the controllers on the seeds' machines listen for other processes of the tier; a seed without an IPv4
    /// address is left out.
    pub fn controllers(self, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
        let ips = seeds.iter().filter_map(|seed| match seed.ip() {
            IpAddr::V4(ip) => Some(ip),
            IpAddr::V6(_) => None,
        });
        ips.map(|ip| self.controller(ip)).collect()
    }

    /// Where the store on a machine listens.
    pub fn store(self, ip: Ipv4Addr) -> SocketAddr {
        self.at(ip, STORE)
    }

    /// Where the agent on a machine listens for its peers.
    pub fn agent(self, ip: Ipv4Addr) -> SocketAddr {
        self.at(ip, AGENT)
    }

    /// Where the agent listens for the proxy of its own machine, whose address is `ip`.
    ///
    /// A machine whose own address is a loopback one is used for trials beside others on the same
    /// host; each then needs an address of its own here.
    pub fn agent_loopback(self, ip: Ipv4Addr) -> SocketAddr {
        let loopback = if ip.is_loopback() {
            ip
        } else {
            Ipv4Addr::LOCALHOST
        };
        self.at(loopback, LOOPBACK)
    }

    fn at(self, ip: Ipv4Addr, offset: u16) -> SocketAddr {
        SocketAddr::V4(SocketAddrV4::new(ip, self.first.saturating_add(offset)))
    }
}
