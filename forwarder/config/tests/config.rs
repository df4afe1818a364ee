//! Valid and invalid configurations of a forwarder; an error message names the faulty key.

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
        "plankhill-config-{}-{name}.json",
        std::process::id()
    ));
    std::fs::write(&path, config.to_string()).expect("the test's file is written");
    let loaded = load_config(|variable| match variable {
        "PROXY_CONFIG" => Some(path.display().to_string()),
        "PROXY_STATE" => Some("/state".into()),
        "PROXY_NAME" => Some("n4".into()),
        "PROXY_HANDOVER" => handover.map(str::to_owned),
        _ => None,
    });
    std::fs::remove_file(&path).expect("written above");
    loaded
}

#[rstest]
fn a_variable_takes_precedence_over_the_file() {
    let loaded = read("right", &config()).expect("right");
    assert_eq!(
        (
            loaded.name.as_str(),
            loaded.max_sockets,
            loaded.max_disk_bytes
        ),
        ("n4", 1024, 3_000_000)
    );
    assert_eq!(
        (
            loaded.connect_timeout,
            loaded.idle_timeout,
            loaded.decisions.max_calls_in_flight
        ),
        (1000.0, 13_500.0, 4)
    );
    assert_eq!(loaded.decisions.seed, 0x8c1f30d27a5be964);
}

#[rstest]
fn rates_reports_and_members_are_optional() {
    let loaded = read("defaults", &config()).expect("right");
    assert!(
        !loaded.names.sizes_are_rates
            && loaded.names.limit_remaining_column.is_none()
            && loaded.names.members.is_empty()
    );
    assert!(
        loaded.decisions.member_quotas.is_empty()
            && loaded.decisions.over_quota_value_weight == 1.0
    );
}

/// With kinds that accept several events per call, all events of a call shared one slot, but each event on sockets
/// was sent as a call of its own: four calls in ten were rejected for lack of a slot.
#[rstest]
fn a_call_on_sockets_carries_one_event_regardless_of_the_simulator_limit() {
    let mut config = config();
    config["settings"]["familyInfo"]["perCall"] = json!([8]);
    let loaded = read("calls", &config).expect("right");
    assert_eq!(loaded.decisions.destination_kinds[0].max_events_per_call, 1);
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
    let loaded = read("new", &config).expect("right");
    assert!(
        loaded.names.sizes_are_rates
            && loaded.names.limit_remaining_column == Some(1)
            && loaded.names.members == ["a"]
    );
    assert_eq!(
        (
            loaded.decisions.member_quotas,
            loaded.decisions.over_quota_value_weight
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
    *config.pointer_mut(at).expect("the key exists") = value;
    let error = read(&name, &config).map(|_| ()).expect_err("is wrong");
    assert!(error.contains(message), "{error}");
}

#[rstest]
fn a_missing_or_unset_file_is_named() {
    let error = load_config(|_| None)
        .map(|_| ())
        .expect_err("nothing is set");
    assert!(error.contains("PROXY_CONFIG: is not set"), "{error}");
    let error = load_config(|_| Some("/nowhere/config.json".into()))
        .map(|_| ())
        .expect_err("is not there");
    assert!(
        error.contains("PROXY_CONFIG: /nowhere/config.json cannot be read"),
        "{error}"
    );
}

/// The fleet's platform provides no Unix socket, so that `run` in the deploy file turns the handover off.
#[rstest]
#[case(None, Ok(true))]
#[case(Some("on"), Ok(true))]
#[case(Some("off"), Ok(false))]
#[case(Some("no"), Err("PROXY_HANDOVER: \"no\" is neither on nor off"))]
fn the_handover_is_on_unless_turned_off(
    #[case] value: Option<&str>,
    #[case] expected: Result<bool, &str>,
) {
    let name = format!("handover-{}", value.unwrap_or("unset"));
    match (
        read_with(&name, &config(), value).map(|loaded| loaded.hot_restart),
        expected,
    ) {
        (Ok(on), Ok(wanted)) => assert_eq!(on, wanted),
        (Err(error), Err(message)) => assert!(error.contains(message), "{error}"),
        (other, wanted) => panic!("{other:?} where {wanted:?} was expected"),
    }
}
