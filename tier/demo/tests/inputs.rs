//! What the demo feeds the tier is valid and fits together.

use std::path::Path;

use plankhill_configuration::{Document, RouteTable};
use plankhill_demo::configuration::{self, ADDED_PATH, HOST, TOOL_PATH, TURN_PATH};
use plankhill_demo::layout::{Class, Network, Role};
use plankhill_demo::settings_file::{render_settings, SettingsContext};
use plankhill_settings::Settings;

#[test]
fn the_settings_of_every_process_are_valid() {
    let network = Network::of_process(4711);
    let seeds: Vec<_> = network
        .machines(Class::Core)
        .iter()
        .map(|core| core.admin())
        .collect();
    for class in [Class::Core, Class::Storage, Class::Edge] {
        for machine in network.machines(class) {
            for role in class.roles() {
                let around = SettingsContext {
                    seeds: &seeds,
                    bootstrap: true,
                    data: Path::new("/tmp/demo \"data\""),
                };
                let settings: Settings = render_settings(&machine, *role, &around)
                    .parse()
                    .expect("valid settings");
                assert_eq!(settings.node_id, machine.name);
                assert_eq!(settings.role, role.name());
                assert_eq!(settings.seed_nodes, seeds);
                assert_eq!(settings.data_path.is_some(), class != Class::Edge);
                assert_eq!(
                    settings.listeners_map.admin.is_some(),
                    *role == Role::Controller
                );
                assert_eq!(settings.listeners_map.http.is_some(), *role == Role::Proxy);
                assert_eq!(
                    settings.zones.region_of(&settings.zone),
                    Some(settings.region.as_str())
                );
            }
        }
    }
}

#[test]
fn networks_of_two_processes_differ_and_never_contain_the_usual_loopback_address() {
    some_process_ids().for_each(|pid| {
        let machine = &Network::of_process(pid).machines(Class::Core)[0];
        assert!(machine.ip.is_loopback());
        assert_ne!(machine.ip.octets()[1], 0);
        assert_ne!(
            machine.ip,
            Network::of_process(pid + 1).machines(Class::Core)[0].ip
        );
    });
}

fn some_process_ids() -> impl Iterator<Item = u32> {
    (1..200_000).step_by(97)
}

#[test]
fn addresses_of_one_network_differ() {
    let network = Network::of_process(1);
    let classes = [Class::Core, Class::Storage, Class::Edge];
    let mut addresses: Vec<_> = classes
        .into_iter()
        .flat_map(|class| network.machines(class))
        .map(|machine| machine.ip)
        .collect();
    addresses.extend((0..6).map(|index| match network.target(index).ip() {
        std::net::IpAddr::V4(ip) => ip,
        std::net::IpAddr::V6(ip) => panic!("{ip} is no IPv4 address"),
    }));
    let count = addresses.len();
    addresses.sort();
    addresses.dedup();
    assert_eq!(addresses.len(), count);
}

#[test]
fn both_configurations_are_valid_and_route_the_programs_requests() {
    let (_, first) =
        Document::parse(configuration::first().to_string().into_bytes()).expect("valid");
    let (_, second) =
        Document::parse(configuration::second().to_string().into_bytes()).expect("valid");
    second
        .check(first.version)
        .expect("the second follows the first");
    let (first, second) = (RouteTable::new(first), RouteTable::new(second));
    for path in [TURN_PATH, TOOL_PATH] {
        assert!(first.find(HOST, path).is_some() && second.find(HOST, path).is_some());
    }
    assert!(first.find(HOST, ADDED_PATH).is_none() && second.find(HOST, ADDED_PATH).is_some());
}
