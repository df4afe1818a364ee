//! `check`, `--help`, `--version` and the exit codes of the program.

mod common;

use std::io::Write;

use tempfile::NamedTempFile;

use common::{command, run, Run};

const SETTINGS: &str = r#"
node_id = "core-1"
role = "controller"
machine_class = "core"
ip = "127.0.0.1"
zone = "north"
region = "inland"
port_range = [9100, 9115]
heartbeat_ms = 900
[limits]
memory_mb = 256
max_fds = 4096
[fault_tolerance]
nodes = 1
"#;

const CONFIGURATION: &str = r#"{
    "version": 3,
    "routes": [{
        "name": "look", "host": "front.example", "path_prefix": "/look/", "type": "idempotent",
        "timeout_ms": 500, "service": "tools", "max_attempts": 2
    }],
    "services": [{"name": "tools", "health_check": "/health", "max_connections": 4}],
    "limits": {
        "max_header_bytes": 1024, "max_body_bytes": 1024, "header_timeout_ms": 100, "idle_timeout_ms": 100
    }
}"#;

fn check(kind: &str, text: &str) -> Run {
    let mut file = NamedTempFile::new().expect("creates a temporary file");
    file.write_all(text.as_bytes()).expect("writes the file");
    run(command(&[
        "check",
        kind,
        file.path().to_str().expect("a UTF-8 path"),
    ]))
}

#[test]
fn valid_files_end_with_code_0() {
    let settings = check("settings", SETTINGS);
    assert_eq!((settings.code, settings.errors.as_str()), (0, ""));
    let configuration = check("configuration", CONFIGURATION);
    assert_eq!(configuration.code, 0);
    assert!(
        configuration
            .output
            .contains("version 3, 1 routes, 1 services"),
        "{}",
        configuration.output
    );
}

#[test]
fn every_fault_of_settings_is_printed_with_its_key_and_code_1() {
    let text = SETTINGS
        .replace("heartbeat_ms = 900", "heartbeat_ms = 0")
        .replace("4096", "0");
    let checked = check("settings", &text);
    assert_eq!(checked.code, 1);
    assert!(
        checked.output.contains(": heartbeat_ms: "),
        "{}",
        checked.output
    );
    assert!(
        checked.output.contains(": limits.max_fds: "),
        "{}",
        checked.output
    );
    assert_eq!(checked.output.lines().count(), 2);
}

#[test]
fn every_fault_of_a_configuration_is_printed_with_its_key_and_code_1() {
    let text = CONFIGURATION
        .replace("500", "0")
        .replace("\"tools\", \"max", "\"nobody\", \"max");
    let checked = check("configuration", &text);
    assert_eq!(checked.code, 1);
    assert!(
        checked.output.contains(": routes[0].timeout_ms: "),
        "{}",
        checked.output
    );
    assert!(
        checked.output.contains(": routes[0].service: "),
        "{}",
        checked.output
    );
    let zero = check(
        "configuration",
        &CONFIGURATION.replace("\"version\": 3", "\"version\": 0"),
    );
    assert!(zero.output.contains(": version: "), "{}", zero.output);
}

#[test]
fn a_missing_file_ends_with_code_2() {
    for kind in ["settings", "configuration"] {
        let checked = run(command(&["check", kind, "/nowhere/file"]));
        assert_eq!(checked.code, 2);
        assert!(
            checked.errors.contains("/nowhere/file"),
            "{}",
            checked.errors
        );
    }
}

#[test]
fn a_usage_error_ends_with_code_2() {
    let refused = run(command(&["serve"]));
    assert_eq!(refused.code, 2);
    assert!(
        refused.errors.contains("serve") && refused.errors.contains("--help"),
        "{}",
        refused.errors
    );
}

#[test]
fn help_names_commands_and_exit_codes() {
    let help = run(command(&["--help"]));
    assert_eq!(help.code, 0);
    for part in [
        "controller",
        "check settings",
        "status ADDRESS",
        "--log-format",
        "PLANKHILL_LOG",
        "Exit codes",
    ] {
        assert!(help.output.contains(part), "{part}");
    }
}

#[test]
fn the_version_is_that_of_the_package() {
    let version = run(command(&["--version"]));
    assert_eq!(version.code, 0);
    assert_eq!(
        version.output.trim(),
        format!("plankhill-tier {}", env!("CARGO_PKG_VERSION"))
    );
}
