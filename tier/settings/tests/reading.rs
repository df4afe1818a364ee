//! Parsing of valid settings files.

mod common;

use std::time::Duration;

use plankhill_settings::{MachineClass, Settings};

use common::{with_line, VALID};

fn read(text: &str) -> Settings {
    text.parse().expect("the settings are valid")
}

#[test]
fn every_key_of_a_valid_file_is_read() {
    let settings = read(VALID);
    assert_eq!(settings.node_id, "proxy-7");
    assert_eq!(settings.role, "proxy");
    assert_eq!(settings.machine_class, MachineClass::Edge);
    assert!(settings.serves("edge"));
    assert!(!settings.serves("control_plane"));
    assert_eq!(settings.ip.to_string(), "127.0.0.7");
    assert_eq!(
        (settings.zone.as_str(), settings.region.as_str()),
        ("north", "inland")
    );
    assert_eq!(
        (settings.port_range.first, settings.port_range.last),
        (9100, 9115)
    );
    assert_eq!(settings.seed_nodes[1].to_string(), "127.0.0.2:9001");
    assert!(settings.bootstrap);
    assert!(!settings.counts_for_quorum);
    assert_eq!(settings.data_path, None);
    assert_eq!(settings.heartbeat(), Duration::from_millis(900));
    assert!(settings.has_invariant("base"));
    assert!(!settings.has_invariant("drain"));
    assert_eq!(settings.fault_tolerance.nodes, 1);
}

#[test]
fn zones_have_regions() {
    let zones = read(VALID).zones;
    assert_eq!(zones.region_of("shore"), Some("coast"));
    assert_eq!(zones.region_of("moon"), None);
    assert_eq!(
        zones.in_region("inland").collect::<Vec<_>>(),
        ["north", "south"]
    );
    assert_eq!(zones.names().count(), zones.len());
}

#[test]
fn each_listener_is_optional() {
    let listeners = read(VALID).listeners_map;
    assert_eq!(listeners.http.expect("http is given").port(), 9002);
    assert_eq!(listeners.admin, None);
    let none = read(&with_line("readiness", "readiness = \"\""));
    assert_eq!(none.listeners_map.readiness, None);
}

#[test]
fn an_empty_data_path_is_read_as_none() {
    let data_path =
        |line: &str| read(&VALID.replace("[zones]", &format!("{line}\n[zones]"))).data_path;
    assert_eq!(data_path("data_path = \"\""), None);
    assert_eq!(data_path("data_path = \"/data/x\""), Some("/data/x".into()));
}

#[test]
fn bounds_are_integers_floats_or_booleans() {
    let bounds = read(VALID).bounds;
    assert_eq!(bounds.drain(), Duration::from_millis(1500));
    assert_eq!(bounds.catch_up(), Duration::from_millis(4400));
    let from_true = read(&with_line("drain_ms", "drain_ms = true")).bounds;
    assert_eq!(from_true.drain(), Duration::from_millis(1));
    let from_false = read(&with_line("drain_ms", "drain_ms = false")).bounds;
    assert_eq!(from_false.drain(), Duration::ZERO);
}

#[test]
fn a_missing_bound_takes_its_default() {
    let bounds = read(VALID).bounds;
    assert_eq!(bounds.grace(), Duration::from_secs(8));
    assert_eq!(bounds.propagation(), Duration::from_secs(2));
}

#[test]
fn unknown_keys_are_ignored_in_every_table() {
    let text = VALID
        .replace("[limits]", "[limits]\ntapes = \"\"")
        .replace("[bounds]", "[bounds]\nnew_ms = 3\nnew_list = [1, 2]")
        .replace(
            "[listeners_map]",
            "[listeners_map]\nmetrics = \"127.0.0.7:1\"",
        )
        .replace("[zones]", "[unknown_table]\nvalue = 1\n\n[zones]");
    assert_eq!(read(&text), read(VALID));
}

#[test]
fn an_unknown_machine_class_is_accepted() {
    let settings = read(&with_line("machine_class", "machine_class = \"rack\""));
    assert_eq!(settings.machine_class, MachineClass::Unknown);
}

#[test]
fn limits_are_converted_to_bytes() {
    let limits = read(VALID).limits;
    assert_eq!(limits.memory_bytes(), 260_000_000);
    assert_eq!(limits.disk_bytes(), 0);
    assert_eq!(limits.bandwidth_bytes_per_second(), Some(100_000_000));
    let unlimited = read(&with_line("bandwidth_mbps", "bandwidth_mbps = 0")).limits;
    assert_eq!(unlimited.bandwidth_bytes_per_second(), None);
}

#[test]
fn port_offsets_are_relative_to_the_first_port() {
    let range = read(VALID).port_range;
    assert_eq!(range.port(0), Some(9100));
    assert_eq!(range.port(15), Some(9115));
    assert_eq!(range.port(16), None);
    assert_eq!(range.count(), 16);
}
