//! The fleet file: its content and defaults; an error names its key and line.

use plankhill_forwarder_config::fleet::{read, Timing};
use rstest::rstest;

const GOOD: &str = r#"fleet = "amman"
instances = [
    { name = "a", address = "127.0.0.1:1", machine = "m1", zone = "z1" },
    { name = "b", address = "127.0.0.1:2", machine = "m2" },
    { name = "c", address = "127.0.0.1:3", machine = "m3" },
]
[timing]
heartbeat_ms = 50
[copies]
keepers = 2
[control]
voters = ["a", "b", "c"]
[pools]
policy = "p.pool"
"#;

#[test]
fn a_fleet_file_has_instances_and_timing_with_defaults() {
    let fleet = read(GOOD).unwrap();
    assert_eq!(fleet.instances.len(), 3);
    assert_eq!(fleet.instance("a").unwrap().zone, "z1");
    assert_eq!(
        fleet.timing,
        Timing {
            heartbeat: 50.0,
            election: 1000.0,
            stall: 600.0,
            replace: 5000.0
        }
    );
    assert_eq!(fleet.replication.unwrap().keepers, 2);
    assert_eq!(fleet.pools["policy"].as_str(), Some("p.pool"));
}

#[test]
fn the_example_in_deploy_is_read() {
    let text = std::fs::read_to_string(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../deploy/fleet.toml"
    ))
    .unwrap();
    assert_eq!(read(&text).unwrap().voters, ["a", "b", "c"]);
}

#[rstest]
#[case("fleet = \"amman\"", "fleet = \"\"", "line 1: fleet: is empty")]
#[case(
    "name = \"b\"",
    "name = \"a\"",
    "line 4: instances.name: \"a\" is listed twice"
)]
#[case(
    "127.0.0.1:2",
    "127.0.0.1:1",
    "line 4: instances.address: \"127.0.0.1:1\" is listed twice"
)]
#[case(
    "127.0.0.1:3",
    "here",
    "line 5: instances.address: \"here\" is not an address with a port"
)]
#[case(
    "heartbeat_ms = 50",
    "election_ms = 800",
    "line 7: timing.stall_ms: 600 is under heartbeat_ms, or"
)]
#[case(
    "heartbeat_ms = 50",
    "heartbeats = 50",
    "line 8: unknown field `heartbeats`"
)]
#[case(
    "heartbeat_ms = 50",
    "election_ms = nan",
    "line 7: timing.election_ms: NaN is not within"
)]
#[case(
    "keepers = 2",
    "keepers = 3",
    "line 9: copies.keepers: 3 is not 2, 4 or 6"
)]
#[case(
    "\"m3\"",
    "\"m1\"",
    "line 9: copies.keepers: 2, but \"a\" has only 1 instances on other machines"
)]
#[case(
    "\"b\", \"c\"]",
    "\"b\", \"d\"]",
    "line 12: control.voters: \"d\" is not an instance"
)]
fn an_error_names_its_key_and_line(#[case] good: &str, #[case] bad: &str, #[case] message: &str) {
    let text = GOOD.replace(good, bad);
    let fault = read(&text).unwrap_err();
    assert!(fault.starts_with(message), "{fault}");
}
