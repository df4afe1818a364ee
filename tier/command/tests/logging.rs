//! A role that cannot start logs the reason.

mod common;

use serde_json::Value;

use common::{command, run, Run};

/// Runs a role whose settings file does not exist, with the given log level and format.
fn start_without_settings(level: &str, format: &str) -> Run {
    let mut command = command(&["agent", "--log-format", format]);
    command
        .env("PLANKHILL_SETTINGS", "/nowhere/settings.toml")
        .env("PLANKHILL_LOG", level);
    run(command)
}

#[test]
fn the_reason_is_logged_as_text_without_colour() {
    let ended = start_without_settings("", "text");
    assert_eq!(ended.code, 1);
    assert!(
        ended.output.contains("ERROR") && ended.output.contains("/nowhere/settings.toml"),
        "{}",
        ended.output
    );
    assert!(!ended.output.contains('\u{1b}'), "{}", ended.output);
}

#[test]
fn the_reason_is_logged_as_json() {
    let ended = start_without_settings("", "json");
    let line: Value = serde_json::from_str(ended.output.trim()).expect("one JSON object");
    assert_eq!(line["level"], "ERROR");
    assert!(line["error"]
        .as_str()
        .expect("a reason")
        .contains("/nowhere/settings.toml"));
}

#[test]
fn the_level_is_set_by_the_environment_and_an_invalid_one_is_reported() {
    assert_eq!(start_without_settings("off", "text").output, "");
    for invalid_level in ["plankhill_agent=loud", "inof"] {
        let warned = start_without_settings(invalid_level, "text").output;
        assert!(
            warned.contains("WARN") && warned.contains("PLANKHILL_LOG"),
            "{warned}"
        );
        assert!(warned.contains("ERROR"), "{warned}");
    }
}
