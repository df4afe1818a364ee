//! A role that can't start says why in its log.

mod common;

use serde_json::Value;

use common::{command, run, Run};

/// A role without its settings, with the given level and form of the log.
fn start_without_settings(level: &str, format: &str) -> Run {
    let mut command = command(&["agent", "--log-format", format]);
    command
        .env("PLANKHILL_SETTINGS", "/nowhere/settings.toml")
        .env("PLANKHILL_LOG", level);
    run(command)
}

#[test]
fn the_reason_stands_in_a_line_of_text_without_colour() {
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
fn the_reason_stands_in_a_json_object() {
    let ended = start_without_settings("", "json");
    let line: Value = serde_json::from_str(ended.output.trim()).expect("one JSON object");
    assert_eq!(line["level"], "ERROR");
    assert!(line["error"]
        .as_str()
        .expect("a reason")
        .contains("/nowhere/settings.toml"));
}

#[test]
fn the_level_is_chosen_by_the_environment() {
    assert_eq!(start_without_settings("off", "text").output, "");
    for not_understood in ["plankhill_agent=loud", "inof"] {
        let warned = start_without_settings(not_understood, "text").output;
        assert!(
            warned.contains("WARN") && warned.contains("PLANKHILL_LOG"),
            "{warned}"
        );
        assert!(warned.contains("ERROR"), "{warned}");
    }
}
