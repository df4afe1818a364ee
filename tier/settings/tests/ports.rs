//! The addresses derived from the port range.

mod common;

use std::net::{Ipv4Addr, SocketAddr};

use common::VALID;
use plankhill_settings::{PortRange, Settings};

const RANGE: PortRange = PortRange {
    first: 9100,
    last: 9115,
};

#[test]
fn each_process_has_its_own_port() {
    let ip = Ipv4Addr::new(10, 0, 0, 5);
    assert_eq!(RANGE.controller(ip), SocketAddr::from((ip, 9100)));
    assert_eq!(RANGE.store(ip), SocketAddr::from((ip, 9101)));
    assert_eq!(RANGE.agent(ip), SocketAddr::from((ip, 9102)));
    let loopback = SocketAddr::from((Ipv4Addr::LOCALHOST, 9103));
    assert_eq!(RANGE.agent_loopback(ip), loopback);
}

#[test]
fn machines_on_one_host_keep_their_loopback_addresses() {
    let ip = Ipv4Addr::new(127, 3, 4, 5);
    assert_eq!(RANGE.agent_loopback(ip), SocketAddr::from((ip, 9103)));
}

#[test]
fn controller_addresses_are_derived_from_ipv4_seeds() {
    let seeds = ["10.0.0.2:9001", "[fd00::1]:9001", "10.0.0.1:9001"];
    let seeds = seeds.map(|seed| seed.parse::<SocketAddr>().unwrap());
    let controllers = ["10.0.0.2:9100", "10.0.0.1:9100"];
    let controllers = controllers.map(|address| address.parse::<SocketAddr>().unwrap());
    assert_eq!(RANGE.controllers(&seeds), controllers);
}

#[test]
fn addresses_of_a_machine_are_derived_from_its_settings() {
    let settings: Settings = VALID.parse().unwrap();
    let range = settings.port_range;
    assert_eq!(settings.controller_address(), range.controller(settings.ip));
    assert_eq!(
        settings.controller_bind_address(),
        settings.controller_address()
    );
    assert_eq!(settings.store_address(), range.store(settings.ip));
    assert_eq!(settings.agent_address(), range.agent(settings.ip));
    assert_eq!(
        settings.agent_loopback_address(),
        range.agent_loopback(settings.ip)
    );
    assert_eq!(
        settings.seed_controllers(),
        range.controllers(&settings.seed_nodes)
    );
}
