//! What a forwarder is told at its start, right and wrong: a message names the faulty key.

use plankhill_forwarder_config::load_config;
use rstest::rstest;
use serde_json::{json, Value};

fn config() -> Value {
    json!({"name": "n3", "listen": "127.0.0.1:7", "mgmt": "127.0.0.1:8", "discovery": "127.0.0.1:9", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
        "known": {"revision": 1, "complete": true, "members": []},
        "settings": {"me": 0, "balancers": 2, "shapes": ["k"], "zones": ["z"], "zone": "z", "projects": [], "overShareWorth": null,
            "allowed": {"attemptsCap": 6, "maxOpen": 20, "probes": true, "connectTimeoutUs": 1000000},
            "familyInfo": {"slots": 4},
            "profiles": [{"name": "p", "semantics": "pure", "aimUs": 1, "deadlineUs": 2, "credit": 1,
                "lateWorth": 0.1}],
            "rules": {"coldFrom": 0.2, "coldUs": 9000000, "tipMultiple": 2}}})
}

fn read(name: &str, config: &Value) -> Result<plankhill_forwarder_config::ForwarderConfig, String> {
    read_with(name, config, None)
}

fn read_with(
    name: &str,
    config: &Value,
    handover: Option<&str>,
) -> Result<plankhill_forwarder_config::ForwarderConfig, String> {
    let path = std::env::temp_dir().join(format!(
        "plankhill-terms-{}-{name}.json",
        std::process::id()
    ));
    std::fs::write(&path, config.to_string()).expect("a file for the test");
    let told = load_config(|variable| match variable {
        "PROXY_CONFIG" => Some(path.display().to_string()),
        "PROXY_STATE" => Some("/state".into()),
        "PROXY_NAME" => Some("n4".into()),
        "PROXY_HANDOVER" => handover.map(str::to_owned),
        _ => None,
    });
    std::fs::remove_file(&path).expect("written above");
    told
}

#[rstest]
fn all_is_read_once_and_a_variable_goes_before_the_file() {
    let told = read("right", &config()).expect("right");
    assert_eq!(
        (told.name.as_str(), told.max_sockets, told.max_disk_bytes),
        ("n4", 1024, 3_000_000)
    );
    assert_eq!(
        (
            told.connect_timeout,
            told.idle_timeout,
            told.decisions.max_calls_in_flight
        ),
        (1000.0, 13_500.0, 4)
    );
    assert_eq!(told.decisions.seed, 0x8c1f30d27a5be964);
}

#[rstest]
fn without_rates_reports_and_members_nothing_changes() {
    let told = read("defaults", &config()).expect("right");
    assert!(
        !told.names.sizes_are_rates
            && told.names.left_at.is_none()
            && told.names.members.is_empty()
    );
    assert!(
        told.decisions.member_quotas.is_empty() && told.decisions.over_quota_value_weight == 1.0
    );
}

/// Met at a deployment whose kinds take several events in a call: each went as a call of its own, with one slot for all,
/// and four calls in ten were turned away for want of a slot.
#[rstest]
fn a_call_on_sockets_carries_one_event_whatever_one_of_the_simulator_may() {
    let mut config = config();
    config["settings"]["familyInfo"]["perCall"] = json!([8]);
    let told = read("calls", &config).expect("right");
    assert_eq!(told.decisions.destination_kinds[0].max_events_per_call, 1);
    let settings = config["settings"].as_object().expect("given");
    let (simulated, _) =
        plankhill_forwarder_config::decision_config(settings, "settings", 1).expect("right");
    assert_eq!(simulated.destination_kinds[0].max_events_per_call, 8);
}

#[rstest]
fn rates_reports_and_members_are_read() {
    let mut config = config();
    config["settings"]["weightKind"] = json!("nominal");
    config["settings"]["report"] = json!({"columns": ["x1", "x0"], "via": "piggyback"});
    config["settings"]["projects"] = json!([{"name": "a", "quotaPerS": 66.0, "share": 0.08}]);
    config["settings"]["overShareWorth"] = json!(0.05);
    let told = read("new", &config).expect("right");
    assert!(
        told.names.sizes_are_rates && told.names.left_at == Some(1) && told.names.members == ["a"]
    );
    assert_eq!(
        (
            told.decisions.member_quotas,
            told.decisions.over_quota_value_weight
        ),
        (vec![66.0], 0.05)
    );
}

#[rstest]
#[case("/listen", json!("here"), "listen: \"here\" is not an address")]
#[case("/mgmt", json!("127.0.0.1:7"), "mgmt: 127.0.0.1:7 is the clients' address")]
#[case("/mgmt", json!("there"), "mgmt: \"there\" is not an address")]
#[case("/seed", json!("xyz"), "seed: \"xyz\" is not hexadecimal")]
#[case("/limits/disk_mb", json!(0), "limits.disk_mb: 0 is under")]
#[case("/limits/sockets", json!("many"), "limits.sockets: a number is missing")]
#[case("/settings/allowed/maxOpen", json!(-1), "settings.allowed.maxOpen: not a whole number")]
#[case("/settings/allowed/attemptsCap", json!(0), "settings.allowed.attemptsCap: is 0")]
#[case("/settings/shapes", json!([]), "settings.shapes: is empty")]
#[case(
    "/settings/rules/coldFrom",
    Value::Null,
    "settings.rules.coldFrom: a number is missing"
)]
#[case("/settings/profiles/0/semantics", json!("odd"), "settings.profiles[0].semantics: unknown word")]
#[case("/settings/projects", json!([{"name": "a", "quotaPerS": -1}]), "settings.projects[0].quotaPerS: -1 is not above 0")]
#[case("/settings/overShareWorth", json!("much"), "settings.overShareWorth: a number is missing")]
#[case("/settings/zone", json!("nowhere"), "settings.zone: \"nowhere\" is not in the settings")]
fn the_faulty_key_is_named(#[case] at: &str, #[case] value: Value, #[case] message: &str) {
    let mut config = config();
    let name = format!("{at}{value}").replace(|c: char| !c.is_alphanumeric(), "-");
    *config.pointer_mut(at).expect("stands there") = value;
    let said = read(&name, &config).map(|_| ()).expect_err("is wrong");
    assert!(said.contains(message), "{said}");
}

#[rstest]
fn a_file_that_is_missing_or_no_json_is_named() {
    let said = load_config(|_| None)
        .map(|_| ())
        .expect_err("nothing is set");
    assert!(said.contains("PROXY_CONFIG: is not set"), "{said}");
    let said = load_config(|_| Some("/nowhere/config.json".into()))
        .map(|_| ())
        .expect_err("is not there");
    assert!(
        said.contains("PROXY_CONFIG: /nowhere/config.json cannot be read"),
        "{said}"
    );
}

/// The fleet's platform gives no Unix socket: the deploy file's `run` turns the hand-over off.
#[rstest]
#[case(None, Ok(true))]
#[case(Some("on"), Ok(true))]
#[case(Some("off"), Ok(false))]
#[case(Some("no"), Err("PROXY_HANDOVER: \"no\" is neither on nor off"))]
fn the_hand_over_is_on_unless_turned_off(
    #[case] said: Option<&str>,
    #[case] meant: Result<bool, &str>,
) {
    let name = format!("handover-{}", said.unwrap_or("unset"));
    match (
        read_with(&name, &config(), said).map(|told| told.hot_restart),
        meant,
    ) {
        (Ok(on), Ok(wanted)) => assert_eq!(on, wanted),
        (Err(said), Err(message)) => assert!(said.contains(message), "{said}"),
        (other, wanted) => panic!("{other:?} where {wanted:?} was meant"),
    }
}
