//! The machines of the demo: loopback addresses, each standing for one machine.

use std::net::{Ipv4Addr, SocketAddr};

/// Zones of the demo, all in one region.
pub(crate) const ZONES: [&str; 3] = ["north", "south", "shore"];

/// The region of the zones.
pub(crate) const REGION: &str = "inland";

/// First and last port of the traffic inside the tier.
pub(crate) const PORT_RANGE: (u16, u16) = (7400, 7415);

const ADMIN_PORT: u16 = 7001;
const HTTP_PORT: u16 = 8001;
const READINESS_PORT: u16 = 8002;
const TARGET_PORT: u16 = 9001;

/// Class of a machine; its value is the host part of the first address of the class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Class {
    Core = 11,
    Storage = 21,
    Edge = 31,
    Target = 41,
}

/// A role of the tier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Role {
    Controller,
    Store,
    Agent,
    Proxy,
}

/// One machine of the demo.
#[derive(Debug, Clone)]
pub(crate) struct Machine {
    pub(crate) name: String,
    pub(crate) class: Class,
    pub(crate) ip: Ipv4Addr,
    pub(crate) zone: &'static str,
}

/// The network of one run; runs side by side use different ones.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Network {
    second: u8,
    third: u8,
}

impl Network {
    /// The network for the process `pid`: one of 62,500, none of which holds 127.0.0.1.
    pub(crate) fn of_process(pid: u32) -> Network {
        let second = 1 + (pid / 250) % 250;
        let third = pid % 250;
        Network { second: second as u8, third: third as u8 }
    }

    /// One machine of `class` in each zone.
    pub(crate) fn machines(self, class: Class) -> Vec<Machine> {
        (0..).zip(ZONES).map(|(place, zone)| self.machine(class, place, zone)).collect()
    }

    /// Address of target `place`.
    pub(crate) fn target(self, place: u8) -> SocketAddr {
        SocketAddr::from((self.address(Class::Target, place), TARGET_PORT))
    }

    fn machine(self, class: Class, place: u8, zone: &'static str) -> Machine {
        let name = format!("{}-{zone}-1", class.name());
        Machine { name, class, ip: self.address(class, place), zone }
    }

    fn address(self, class: Class, place: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.second, self.third, class as u8 + place)
    }
}

impl Machine {
    pub(crate) fn admin(&self) -> SocketAddr {
        SocketAddr::from((self.ip, ADMIN_PORT))
    }

    pub(crate) fn http(&self) -> SocketAddr {
        SocketAddr::from((self.ip, HTTP_PORT))
    }

    pub(crate) fn readiness(&self) -> SocketAddr {
        SocketAddr::from((self.ip, READINESS_PORT))
    }
}

impl Class {
    pub(crate) fn name(self) -> &'static str {
        match self {
            Class::Core => "core",
            Class::Storage => "storage",
            Class::Edge => "edge",
            Class::Target => "target",
        }
    }

    /// Roles that run on each machine of the class.
    pub(crate) fn roles(self) -> &'static [Role] {
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
    pub(crate) fn name(self) -> &'static str {
        match self {
            Role::Controller => "controller",
            Role::Store => "store",
            Role::Agent => "agent",
            Role::Proxy => "proxy",
        }
    }

    /// What the role serves to callers from outside.
    pub(crate) fn serves(self) -> Option<&'static str> {
        match self {
            Role::Controller => Some("control_plane"),
            Role::Store => Some("storage"),
            Role::Proxy => Some("edge"),
            Role::Agent => None,
        }
    }
}
