//! Valid and invalid scenarios and experiments; an error is one line with file, line, key and what is allowed.

use plankhill_forwarder_config::experiment::Experiment;
use plankhill_forwarder_config::scenario::Scenario;
use plankhill_forwarder_config::tables::Text;
use rstest::rstest;

const RIGHT: &str = r#"about = "a day"
length = 60000.0

[clients]
rate = 20.0

[[traffic]]
name = "status"
effect = "retriable"
soft_limit = 1000.0
patience = 8000.0
payoff = 1.0
share = 1.0

[[destinations]]
name = "partners"

[[troubles]]
kind = "down"
start = 1000.0
length = 2000.0
whom = { group = "partners" }
"#;

fn read(text: &str) -> Result<Scenario, String> {
    Scenario::read(&Text::parse("day.toml".into(), text.into())?)
}

#[rstest]
fn missing_keys_have_defaults() {
    let scenario = read(RIGHT).expect("right");
    assert_eq!(
        (
            scenario.forwarders.count,
            scenario.rules.max_attempts,
            scenario.seed
        ),
        (3, 6, 0)
    );
    assert_eq!(
        (
            scenario.destinations[0].servers,
            scenario.network.zones.len()
        ),
        (8, 1)
    );
}

#[rstest]
#[case::unknown(
    "rate = 20.0",
    "rates = 20.0",
    "day.toml:5: clients.rates: unknown field `rates`"
)]
#[case::nearest("rate = 20.0", "rat = 20.0", "did you mean `rate`?")]
#[case::no_number(
    "rate = 20.0",
    "rate = \"many\"",
    "day.toml:5: clients.rate: invalid type"
)]
#[case::no_word(
    "\"down\"",
    "\"dwon\"",
    "day.toml:19: troubles[0].kind: unknown variant `dwon`"
)]
#[case::too_small(
    "rate = 20.0",
    "rate = -1.0",
    "day.toml:5: clients.rate: -1 is not allowed; must be 0 or more"
)]
#[case::no_group(
    "group = \"partners\"",
    "group = \"partner\"",
    "day.toml:22: troubles[0].whom.group: \"partner\" is not known; the nearest is \"partners\""
)]
#[case::patience(
    "patience = 8000.0",
    "patience = 10.0",
    "day.toml:11: traffic[0].patience: 10 is not allowed; must be 1000 or more"
)]
#[case::missing("share = 1.0\n", "", "traffic[0]: missing field `share`")]
#[case::no_toml("rate = 20.0", "rate = = 20.0", "day.toml:5: not TOML")]
#[case::not_a_number(
    "rate = 20.0",
    "rate = nan",
    "day.toml:5: clients.rate: NaN is not allowed"
)]
#[case::too_much_memory("rate = 20.0", "rate = 20000000.0", "memory_mb: the day may need")]
fn a_faulty_key_is_named_with_its_line(
    #[case] right: &str,
    #[case] wrong: &str,
    #[case] message: &str,
) {
    let error = read(&RIGHT.replacen(right, wrong, 1)).expect_err("wrong");
    assert!(error.contains(message), "{error}");
    assert!(!error.contains('\n'), "{error}");
}

#[rstest]
fn an_overridden_key_is_named_as_set() {
    let mut text = Text::parse("day.toml".into(), RIGHT.into()).expect("TOML");
    text.set("troubles.0.start", "-5").expect("it is there");
    assert!(Scenario::read(&text)
        .expect_err("wrong")
        .starts_with("--set troubles.0.start: -5 is not allowed"));
    assert!(text
        .set("troubles.7.start", "5")
        .expect_err("no such fault")
        .contains("there is no \"7\" here"));
    text.set("troubles.0.start", "500").expect("it is there");
    text.set("forwarders.decisions", "backoff")
        .expect("the table is created");
    let scenario = Scenario::read(&text).expect("right again");
    assert_eq!(scenario.faults[0].start, 500.0);
}

#[rstest]
#[case("seeds = 0", "seeds: 0 is not allowed")]
#[case(
    "seeds = 2\n[[variants]]\nname = \"a\"\n[[variants]]\nname = \"a\"",
    "e.toml:7: variants[1].name: \"a\" is listed twice"
)]
#[case(
    "seeds = 2\n[[variants]]\nname = \"a\"\n[[sweep]]\nkey = \"seed\"\nvalues = []",
    "sweep[0].values"
)]
#[case("seeds = 2\nmeasure = []", "did you mean `measures`?")]
fn a_faulty_key_of_an_experiment_is_named(#[case] rest: &str, #[case] message: &str) {
    let variants = if rest.contains("variants") {
        ""
    } else {
        "\n[[variants]]\nname = \"a\""
    };
    let text = format!("about = \"q\"\nscenario = \"ordinary-day\"\n{rest}{variants}");
    let error =
        Experiment::read(&Text::parse("e.toml".into(), text).expect("TOML")).expect_err("wrong");
    assert!(error.contains(message), "{error}");
}
