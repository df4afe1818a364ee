//! Small scenarios for the tests, made from a text and overridden keys.
#![allow(dead_code)] // each test file uses some of them

use plankhill_forwarder_config::scenario::Scenario;
use plankhill_forwarder_config::tables::Text;

const SMALL: &str = r#"
about = "a small day"
length = 60000.0
memory_mb = 500.0
[clients]
rate = 20.0
keys = 20
[[traffic]]
name = "status"
effect = "retriable"
soft_limit = 1000.0
patience = 8000.0
payoff = 1.0
payoff_at_end = 0.1
share = 0.5
[[traffic]]
name = "order"
effect = "fingerprinted"
window = 4000.0
soft_limit = 2000.0
patience = 12000.0
payoff = 2.0
share = 0.3
[[traffic]]
name = "charge"
effect = "binding"
ordered = true
soft_limit = 2000.0
patience = 15000.0
payoff = 4.0
payoff_at_end = 0.5
share = 0.2
[[destinations]]
name = "partners"
count = 6
targets = 2
servers = 4
"#;

pub fn scenario(set: &[(&str, &str)], more: &str) -> Scenario {
    let mut text =
        Text::parse("small".into(), format!("{SMALL}{more}")).expect("the test's text is TOML");
    for (key, value) in set {
        text.set(key, value).expect("the test's keys are there");
    }
    Scenario::read(&text).expect("the test's scenario is right")
}

/// A single queue: one destination with one target, and one forwarder with practically unlimited
/// slots, without latency between them.
pub fn station(set: &[(&str, &str)]) -> Scenario {
    let text = r#"
about = "one queue"
length = 2000000.0
[forwarders]
count = 1
slots = 1000000
room = 1000000
decisions = "one_try"
time_out = 1000000.0
[network]
within = 0.0
jitter = 0.0
[clients]
rate = 7.0
zipf = 0.0
[[traffic]]
name = "all"
effect = "retriable"
soft_limit = 1000000.0
patience = 1000000.0
payoff = 1.0
share = 1.0
[[destinations]]
name = "station"
servers = 1
queue = 1000000
answer = { shape = "exponential", mean = 100.0 }
"#;
    let mut text = Text::parse("station".into(), text.into()).expect("the test's text is TOML");
    for (key, value) in set {
        text.set(key, value).expect("the test's keys are there");
    }
    Scenario::read(&text).expect("the test's scenario is right")
}
