//! The section `[pools]` of the fleet file, and the policy that it names.

use plankhill_forwarder_config::pools::pools;
use plankhill_forwarder_config::{fleet, Names};
use rstest::rstest;

const FLEET: &str = r#"fleet = "amman"
instances = [{ name = "a", address = "127.0.0.1:1", machine = "m1" }]
[control]
voters = ["a"]
[pools]
"#;
const POLICY: &str = "language 1 edition 3 budget each target of kind webhook { connections 9 }";

fn names() -> Names {
    Names {
        traffic: Vec::new(),
        kinds: vec!["webhook".into()],
        zones: vec!["north".into()],
        members: Vec::new(),
        sizes_are_rates: false,
        limit_remaining_column: None,
        list_request_interval: None,
    }
}

fn edition(section: &str, policy: &str) -> Result<Option<u64>, String> {
    let folder = tempfile::tempdir().expect("a folder");
    std::fs::write(folder.path().join("a.policy"), policy).expect("is written");
    let file = folder.path().join("fleet.toml").display().to_string();
    let fleet = fleet::read(&format!("{FLEET}{section}")).expect("is a fleet");
    Ok(pools(&fleet, &file, &names())?.map(|pools| pools.policy.edition))
}

#[test]
fn a_policy_is_found_next_to_the_fleet_file_and_is_optional() {
    assert_eq!(edition("policy = \"a.policy\"", POLICY), Ok(Some(3)));
    assert_eq!(edition("", POLICY), Ok(None));
}

#[test]
fn the_example_in_deploy_is_valid() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/fleet.toml");
    let fleet = fleet::read(&format!("{FLEET}policy = \"pools.policy\"")).expect("is a fleet");
    assert!(pools(&fleet, file, &names()).expect("is valid").is_some());
}

#[rstest]
#[case("policy = 3", POLICY, "pools.policy: not a path")]
#[case("policies = 3", POLICY, "pools.policies: is not known; policy is")]
#[case("policy = \"b.policy\"", POLICY, "b.policy cannot be read")]
#[case(
    "policy = \"a.policy\"",
    "language 1 edition 3 budget each target of kind mail { connections 9 }",
    "a.policy:1:29: each target of kind \"mail\" / kind mail: no such kind; known are: webhook"
)]
fn an_error_names_file_and_key(#[case] section: &str, #[case] policy: &str, #[case] message: &str) {
    let fault = edition(section, policy).expect_err("is a fault");
    assert!(fault.contains(message), "{fault}");
}
