//! The machines of the demo: loopback addresses, each standing for one machine.

use std::net::{Ipv4Addr, SocketAddr};

use plankhill_settings::PortRange;

/// Zones of the demo, all in one region.
pub const ZONES: [&str; 3] = ["north", "south", "shore"];

/// The region of the zones.
pub const REGION: &str = "inland";

/// The ports for the traffic inside the tier. All ports of the demo lie below those that systems
/// hand out by themselves, and away from those that services commonly use.
pub const PORT_RANGE: PortRange = PortRange {
    first: 27400,
    last: 27415,
};

const ADMIN_PORT: u16 = 27001;
const HTTP_PORT: u16 = 28001;
const READINESS_PORT: u16 = 28002;
const TARGET_PORT: u16 = 29001;

/// Class of a machine; its value is the host part of the first address of the class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// Runs a controller.
    Core = 11,
    /// Runs a store.
    Storage = 21,
    /// Runs an agent and a proxy.
    Edge = 31,
    /// Stands for a target; no process of the tier.
    Target = 41,
}

/// A role of the tier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Role {
    /// Holds the control state.
    Controller,
    /// Keeps turns and budgets.
    Store,
    /// Links a proxy to the control plane.
    Agent,
    /// Carries requests.
    Proxy,
}

/// One machine of the demo.
#[derive(Debug, Clone)]
pub struct Machine {
    /// Name, unique in the demo.
    pub name: String,
    /// Its class.
    pub class: Class,
    /// Its loopback address.
    pub ip: Ipv4Addr,
    /// Its zone.
    pub zone: &'static str,
}

/// The network of one run; runs side by side use different ones.
#[derive(Debug, Clone, Copy)]
pub struct Network {
    second: u8,
    third: u8,
}

impl Network {
    /// The network for the process `pid`: one of 62,500, none of which holds 127.0.0.1.
    pub fn of_process(pid: u32) -> Network {
        let second = 1 + (pid / 250) % 250;
        let third = pid % 250;
        Network {
            second: second as u8,
            third: third as u8,
        }
    }

    /// One machine of `class` in each zone.
    pub fn machines(self, class: Class) -> Vec<Machine> {
        (0..)
            .zip(ZONES)
            .map(|(index, zone)| self.machine(class, index, zone))
            .collect()
    }

    /// Address of target `index`.
    pub fn target(self, index: u8) -> SocketAddr {
        SocketAddr::from((self.address(Class::Target, index), TARGET_PORT))
    }

    fn machine(self, class: Class, index: u8, zone: &'static str) -> Machine {
        let name = format!("{}-{zone}-1", class.name());
        Machine {
            name,
            class,
            ip: self.address(class, index),
            zone,
        }
    }

    fn address(self, class: Class, index: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.second, self.third, class as u8 + index)
    }
}

impl Machine {
    /// Where its controller serves operators and targets.
    pub fn admin(&self) -> SocketAddr {
        SocketAddr::from((self.ip, ADMIN_PORT))
    }

    /// Where its proxy serves clients.
    pub fn http(&self) -> SocketAddr {
        SocketAddr::from((self.ip, HTTP_PORT))
    }

    /// Where its proxy tells whether it takes new clients.
    pub fn readiness(&self) -> SocketAddr {
        SocketAddr::from((self.ip, READINESS_PORT))
    }
}

impl Class {
    /// Name of the class in settings.
    pub fn name(self) -> &'static str {
        match self {
            Class::Core => "core",
            Class::Storage => "storage",
            Class::Edge => "edge",
            Class::Target => "target",
        }
    }

    /// Roles that run on each machine of the class.
    pub fn roles(self) -> &'static [Role] {
        match self {
            Class::Core => &[Role::Controller],
            Class::Storage => &[Role::Store],
            Class::Edge => &[Role::Agent, Role::Proxy],
            Class::Target => &[],
        }
    }
}

impl Role {
    /// Name of the role on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Role::Controller => "controller",
            Role::Store => "store",
            Role::Agent => "agent",
            Role::Proxy => "proxy",
        }
    }

    /// What the role serves to callers from outside.
    pub fn serves(self) -> Option<&'static str> {
        match self {
            Role::Controller => Some("control_plane"),
            Role::Store => Some("storage"),
            Role::Proxy => Some("edge"),
            Role::Agent => None,
        }
    }
}
