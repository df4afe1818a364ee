//! Valid and invalid sections `[fanout]` of a fleet file.

use plankhill_forwarder_config::fanout::fanout;
use plankhill_forwarder_config::tables::Text;
use rstest::rstest;

const RIGHT: &str = r#"fleet = "f"

[fanout]
cohorts = 4
keep_for_one = 32

[fanout.lists]
prices = [3, 1, 2]
notes = [2]
"#;

fn read(text: &str) -> Result<Option<plankhill_fanout::Layout>, String> {
    fanout(&Text::parse("fleet.toml".into(), text.into()).expect("TOML"))
}

#[test]
fn a_file_without_the_section_broadcasts_nothing() {
    assert_eq!(read("fleet = \"f\"\n"), Ok(None));
}

#[test]
fn missing_keys_have_defaults() {
    let layout = read(RIGHT).unwrap().unwrap();
    assert_eq!(
        (layout.cohorts, layout.slow_cohorts, layout.lists.len()),
        (4, 1, 2)
    );
    let bounds = &layout.bounds;
    assert_eq!(
        (bounds.window, bounds.kept_for_one, bounds.broadcasts),
        (2, 32, 1000)
    );
    assert_eq!(
        (
            bounds.body_bytes,
            bounds.moves_at_once,
            bounds.moves_a_minute
        ),
        (16_000_000, 4, 20)
    );
}

#[rstest]
#[case(
    "cohorts = 4",
    "cohorts = 0",
    "fleet.toml:4: fanout.cohorts: 0 is not within 1 and 1024"
)]
#[case(
    "cohorts = 4",
    "cohort = 4",
    "fleet.toml:4: fanout.cohort: unknown field"
)]
#[case(
    "cohorts = 4",
    "window = 40",
    "fleet.toml:4: fanout.window: 40 is not within 1 and 32"
)]
#[case(
    "cohorts = 4",
    "broadcasts = 63",
    "fleet.toml:4: fanout.broadcasts: 63 is not within 64 and"
)]
#[case(
    "cohorts = 4",
    "keep_mb = nan",
    "fleet.toml:4: fanout.keep_mb: NaN is not within"
)]
#[case(
    "cohorts = 4",
    "room = \"x\"",
    "fleet.toml:4: fanout.room: invalid type"
)]
#[case(
    "[3, 1, 2]",
    "[3, 1, 3]",
    "fleet.toml:8: fanout.lists.prices: destination 3 is listed twice"
)]
#[case(
    "[3, 1, 2]",
    "[]",
    "fleet.toml:8: fanout.lists.prices: names no destination"
)]
#[case("[3, 1, 2]", "[-1]", "fleet.toml:8: fanout.lists.prices")]
#[case(
    "prices",
    "\"a/b\"",
    "fleet.toml:7: fanout.lists: \"a/b\" is not 1 to 64 letters"
)]
#[case(
    "keep_for_one = 32",
    "keep_in_all = 2",
    "fleet.toml:8: fanout.lists.prices: 3 destinations, but"
)]
fn an_error_names_its_key_and_line(#[case] was: &str, #[case] is: &str, #[case] message: &str) {
    let error = read(&RIGHT.replace(was, is)).unwrap_err();
    assert!(error.starts_with(message), "{error}");
    assert_eq!(error.lines().count(), 1);
}
