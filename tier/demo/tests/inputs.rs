//! Checks that the settings, addresses and configurations of the demo are valid and consistent.

use std::path::Path;

use plankhill_configuration::{Document, RouteTable};
use plankhill_demo::configuration::{self, ADDED_PATH, HOST, TOOL_PATH, TURN_PATH};
use plankhill_demo::layout::{MachineClass, Network, Role};
use plankhill_demo::settings_file::{render_settings, SettingsContext};
use plankhill_settings::Settings;

#[test]
fn the_settings_of_every_process_are_valid() {
    let network = Network::of_process(4711);
    let seeds: Vec<_> = network
        .machines(MachineClass::Core)
        .iter()
        .map(|core| core.admin_address())
        .collect();
    for class in [
        MachineClass::Core,
        MachineClass::Storage,
        MachineClass::Edge,
    ] {
        for machine in network.machines(class) {
            for role in class.roles() {
                let context = SettingsContext {
                    seeds: &seeds,
                    bootstrap: true,
                    data_path: Path::new("/tmp/demo \"data\""),
                };
                let settings: Settings = render_settings(&machine, *role, &context)
                    .parse()
                    .expect("valid settings");
                assert_eq!(settings.node_id, machine.name);
                assert_eq!(settings.role, role.name());
                assert_eq!(settings.seed_nodes, seeds);
                assert_eq!(settings.data_path.is_some(), class != MachineClass::Edge);
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
fn networks_of_consecutive_process_ids_differ_and_exclude_127_0_0_1() {
    sample_process_ids().for_each(|pid| {
        let machine = &Network::of_process(pid).machines(MachineClass::Core)[0];
        assert!(machine.ip.is_loopback());
        assert_ne!(machine.ip.octets()[1], 0);
        assert_ne!(
            machine.ip,
            Network::of_process(pid + 1).machines(MachineClass::Core)[0].ip
        );
    });
}

fn sample_process_ids() -> impl Iterator<Item = u32> {
    (1..200_000).step_by(97)
}

#[test]
fn addresses_of_one_network_differ() {
    let network = Network::of_process(1);
    let classes = [
        MachineClass::Core,
        MachineClass::Storage,
        MachineClass::Edge,
    ];
    let mut addresses: Vec<_> = classes
        .into_iter()
        .flat_map(|class| network.machines(class))
        .map(|machine| machine.ip)
        .collect();
    addresses.extend(
        (0..6).map(|index| match network.target_address(index).ip() {
            std::net::IpAddr::V4(ip) => ip,
            std::net::IpAddr::V6(ip) => panic!("{ip} is not an IPv4 address"),
        }),
    );
    let count = addresses.len();
    addresses.sort();
    addresses.dedup();
    assert_eq!(addresses.len(), count);
}

#[test]
fn both_configurations_are_valid_and_route_program_requests() {
    let (_, initial) =
        Document::parse(configuration::initial().to_string().into_bytes()).expect("valid");
    let (_, updated) =
        Document::parse(configuration::updated().to_string().into_bytes()).expect("valid");
    updated
        .check(initial.version)
        .expect("the updated configuration may replace the initial one");
    let (initial, updated) = (RouteTable::new(initial), RouteTable::new(updated));
    for path in [TURN_PATH, TOOL_PATH] {
        assert!(initial.find(HOST, path).is_some() && updated.find(HOST, path).is_some());
    }
    assert!(initial.find(HOST, ADDED_PATH).is_none() && updated.find(HOST, ADDED_PATH).is_some());
}
