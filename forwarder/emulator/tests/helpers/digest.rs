//! Digests of the outcomes of days of the shipped scenarios, in the form that `plankhill emulate --json`
//! prints: all floating point numbers in full precision, no unordered map.

use std::path::{Path, PathBuf};

use plankhill_emulator::play;
use plankhill_forwarder_config::scenario::Scenario;
use plankhill_forwarder_config::tables::Text;

pub const SCENARIOS: [&str; 15] = [
    "all-together",
    "cold-return",
    "connections-short",
    "eid-rush",
    "everything-down",
    "flapping",
    "forwarders-die",
    "hall-lost",
    "limits-lowered",
    "many-idle",
    "ordinary-day",
    "partner-silent",
    "rolling-replacement",
    "tenant-floods",
    "three-hundred",
];

/// The deciders other than the module.
#[allow(dead_code)] // the example uses the module only
pub const BASELINES: [&str; 5] = ["one_try", "backoff", "breaker", "budget", "aimd"];

pub const SEEDS: [u64; 2] = [1, 2];

/// The folder `scenarios` in one of the package's parent folders.
fn folder() -> PathBuf {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    let folders = package.ancestors().map(|folder| folder.join("scenarios"));
    folders
        .into_iter()
        .find(|folder| folder.is_dir())
        .expect("a folder above the package has scenarios")
}

/// FNV-1a with 64 bits.
fn fnv1a(text: &str) -> u64 {
    text.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |digest: u64, byte| {
            (digest ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        })
}

/// Shortens the day to this part of its length, and scales the start and length of each fault alike.
fn shorten(text: &mut Text, part: f64) {
    let number = |value: &toml::Value| value.as_float().expect("times have a decimal point");
    let length = number(&text.table()["length"]);
    text.set_value("length", (part * length).into())
        .expect("a scenario has a length");
    let faults = text
        .table()
        .get("troubles")
        .and_then(|list| list.as_array())
        .cloned()
        .unwrap_or_default();
    for (at, fault) in faults.iter().enumerate() {
        for key in ["start", "length"] {
            let time = part * number(&fault[key]);
            text.set_value(&format!("troubles.{at}.{key}"), time.into())
                .expect("a fault has times");
        }
    }
}

/// Simulates a day of this part of its length. Returns one line: scenario, seed, decider, payoff and
/// the digest of the complete outcome.
pub fn line(name: &str, seed: u64, part: f64) -> String {
    line_with(name, seed, part, "module")
}

/// Like `line`, with the decision module or a baseline at each forwarder.
pub fn line_with(name: &str, seed: u64, part: f64, decisions: &str) -> String {
    let path = folder().join(format!("{name}.toml"));
    let text = std::fs::read_to_string(&path).expect("the scenario is there");
    let mut text = Text::parse(name.into(), text).expect("the scenario is TOML");
    text.set("seed", &seed.to_string())
        .expect("a scenario has a seed");
    text.set("forwarders.decisions", decisions)
        .expect("the key of the decider can be set");
    if part < 1.0 {
        shorten(&mut text, part);
    }
    let scenario = Scenario::read(&text).expect("the scenario is right");
    let outcome = play(&scenario);
    let json = serde_json::to_string(&outcome).expect("an outcome is written");
    format!(
        "{name} {seed} {decisions} {:?} {:016x}",
        outcome.payoff,
        fnv1a(&json)
    )
}
