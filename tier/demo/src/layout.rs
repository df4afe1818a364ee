//! The machines of the demo, each represented by a loopback address.

use std::net::{Ipv4Addr, SocketAddr};

use plankhill_settings::PortRange;

/// Zones of the demo, all in one region.
pub const ZONES: [&str; 3] = ["north", "south", "shore"];

/// The region of the zones.
pub const REGION: &str = "inland";

/// The ports for the traffic inside the tier. All ports of the demo are below the ephemeral port
/// ranges of common systems, and outside the ports that services commonly use.
pub const PORT_RANGE: PortRange = PortRange {
    first: 27400,
    last: 27415,
};

const ADMIN_PORT: u16 = 27001;
const HTTP_PORT: u16 = 28001;
const READINESS_PORT: u16 = 28002;
const TARGET_PORT: u16 = 29001;

/// Class of a machine; the discriminant is the last octet of the first address of the class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineClass {
    /// Runs a controller.
    Core = 11,
    /// Runs a store.
    Storage = 21,
    /// Runs an agent and a proxy.
    Edge = 31,
    /// Represents a stub target; runs no process of the tier.
    Target = 41,
}

/// A role of the tier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Role {
    /// Maintains the control state.
    Controller,
    /// Stores turns and budgets.
    Store,
    /// Connects a proxy to the control plane.
    Agent,
    /// Forwards clients' requests to targets.
    Proxy,
}

/// One machine of the demo.
#[derive(Debug, Clone)]
pub struct Machine {
    /// Unique name within the demo.
    pub name: String,
    /// Its class.
    pub class: MachineClass,
    /// Its loopback address.
    pub ip: Ipv4Addr,
    /// Its zone.
    pub zone: &'static str,
}

/// The loopback network of one run; concurrent runs use different networks, unless their process
/// ids are equal modulo 62,500.
#[derive(Debug, Clone, Copy)]
pub struct Network {
    second_octet: u8,
    third_octet: u8,
}

impl Network {
    /// The network for the process `pid`: one of 62,500 networks, none of which contains 127.0.0.1.
    pub fn of_process(pid: u32) -> Network {
        let second_octet = 1 + (pid / 250) % 250;
        let third_octet = pid % 250;
        Network {
            second_octet: second_octet as u8,
            third_octet: third_octet as u8,
        }
    }

    /// One machine of `class` in each zone.
    pub fn machines(self, class: MachineClass) -> Vec<Machine> {
        (0..)
            .zip(ZONES)
            .map(|(index, zone)| self.new_machine(class, index, zone))
            .collect()
    }

    /// Address of target `index`.
    pub fn target_address(self, index: u8) -> SocketAddr {
        SocketAddr::from((self.address(MachineClass::Target, index), TARGET_PORT))
    }

    fn new_machine(self, class: MachineClass, index: u8, zone: &'static str) -> Machine {
        let name = format!("{}-{zone}-1", class.name());
        Machine {
            name,
            class,
            ip: self.address(class, index),
            zone,
        }
    }

    fn address(self, class: MachineClass, index: u8) -> Ipv4Addr {
        Ipv4Addr::new(
            127,
            self.second_octet,
            self.third_octet,
            class as u8 + index,
        )
    }
}

impl Machine {
    /// Address on which the controller serves operators and targets.
    pub fn admin_address(&self) -> SocketAddr {
        SocketAddr::from((self.ip, ADMIN_PORT))
    }

    /// Address on which the proxy serves clients.
    pub fn http_address(&self) -> SocketAddr {
        SocketAddr::from((self.ip, HTTP_PORT))
    }

    /// Address on which the proxy reports whether it accepts new clients.
    pub fn readiness_address(&self) -> SocketAddr {
        SocketAddr::from((self.ip, READINESS_PORT))
    }
}

impl MachineClass {
    /// Name of the class in settings.
    pub fn name(self) -> &'static str {
        match self {
            MachineClass::Core => "core",
            MachineClass::Storage => "storage",
            MachineClass::Edge => "edge",
            MachineClass::Target => "target",
        }
    }

    /// Roles that run on each machine of the class.
    pub fn roles(self) -> &'static [Role] {
        match self {
            MachineClass::Core => &[Role::Controller],
            MachineClass::Storage => &[Role::Store],
            MachineClass::Edge => &[Role::Agent, Role::Proxy],
            MachineClass::Target => &[],
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

    /// The interface that the role serves to external callers, as named in settings (`serves`).
    pub fn serves(self) -> Option<&'static str> {
        match self {
            Role::Controller => Some("control_plane"),
            Role::Store => Some("storage"),
            Role::Proxy => Some("edge"),
            Role::Agent => None,
        }
    }
}
