//! Every kind of invalid settings file produces an error that names the key.

mod common;

use std::io::Write;
use std::path::Path;

use plankhill_settings::{Settings, SettingsError, MAX_FILE_BYTES};

use common::{with_line, VALID};

/// The keys in the faults of the invalid settings `text`.
fn faulty_keys(text: &str) -> Vec<String> {
    match text.parse::<Settings>() {
        Ok(_) => panic!("accepted: {text}"),
        Err(error) => error
            .faults()
            .iter()
            .map(|fault| fault.key.clone())
            .collect(),
    }
}

/// The error for the valid file with the line of `key` removed.
fn error_without(key: &str) -> String {
    with_line(key, "")
        .parse::<Settings>()
        .expect_err(key)
        .to_string()
}

#[test]
fn a_missing_key_is_named() {
    let required = [
        "node_id",
        "role",
        "machine_class",
        "ip",
        "zone",
        "region",
        "port_range",
        "heartbeat_ms",
    ];
    for key in required {
        assert!(
            error_without(key).contains(&format!("`{key}`")),
            "{}",
            error_without(key)
        );
    }
}

#[test]
fn a_missing_key_of_a_table_is_named_with_the_table() {
    for (key, table) in [
        ("memory_mb", "limits"),
        ("max_fds", "limits"),
        ("nodes", "fault_tolerance"),
    ] {
        let message = error_without(key);
        assert!(
            message.contains(table) && message.contains(key),
            "{message}"
        );
    }
}

#[test]
fn a_missing_table_is_named() {
    let text = VALID.replace("[fault_tolerance]\nnodes = 1\nzones = 0\nregions = 0", "");
    let message = text
        .parse::<Settings>()
        .expect_err("the table is missing")
        .to_string();
    assert!(message.contains("fault_tolerance"), "{message}");
}

#[test]
fn a_value_of_another_type_is_named() {
    let cases = [
        ("node_id", "node_id = 7", "node_id"),
        ("ip", "ip = \"::1\"", "ip"),
        ("ip", "ip = \"10.0.0\"", "ip"),
        ("port_range", "port_range = [9100]", "port_range"),
        ("port_range", "port_range = [9100, 99999]", "port_range[1]"),
        (
            "seed_nodes",
            "seed_nodes = [\"127.0.0.1:1\", \"nowhere\"]",
            "seed_nodes[1]",
        ),
        ("bootstrap", "bootstrap = \"yes\"", "bootstrap"),
        ("heartbeat_ms", "heartbeat_ms = 1.5", "heartbeat_ms"),
        ("north", "north = 3", "zones.north"),
        ("http", "http = \"127.0.0.7\"", "listeners_map.http"),
        ("memory_mb", "memory_mb = \"much\"", "limits.memory_mb"),
        ("nodes", "nodes = -1", "fault_tolerance.nodes"),
        ("drain_ms", "drain_ms = \"soon\"", "bounds.drain_ms"),
    ];
    for (key, line, expected) in cases {
        assert_eq!(faulty_keys(&with_line(key, line)), [expected], "{line}");
    }
}

#[test]
fn a_value_out_of_range_is_named() {
    let cases = [
        ("node_id", "node_id = \"\"", "node_id"),
        ("zone", "zone = \"\"", "zone"),
        ("ip", "ip = \"0.0.0.0\"", "ip"),
        ("ip", "ip = \"224.0.0.1\"", "ip"),
        ("port_range", "port_range = [0, 10]", "port_range"),
        ("port_range", "port_range = [20, 10]", "port_range"),
        ("heartbeat_ms", "heartbeat_ms = 0", "heartbeat_ms"),
        ("cpu_quota", "cpu_quota = 0", "limits.cpu_quota"),
        ("memory_mb", "memory_mb = -1", "limits.memory_mb"),
        ("max_fds", "max_fds = 0", "limits.max_fds"),
        ("drain_ms", "drain_ms = -1", "bounds.drain_ms"),
        ("catch_up_s", "catch_up_s = nan", "bounds.catch_up_s"),
        ("catch_up_s", "catch_up_s = inf", "bounds.catch_up_s"),
    ];
    for (key, line, expected) in cases {
        assert_eq!(faulty_keys(&with_line(key, line)), [expected], "{line}");
    }
}

#[test]
fn all_values_out_of_range_are_named_in_one_error() {
    let text = VALID
        .replace("heartbeat_ms = 900", "heartbeat_ms = 0")
        .replace("max_fds = 4100", "max_fds = 0");
    assert_eq!(faulty_keys(&text), ["heartbeat_ms", "limits.max_fds"]);
}

#[test]
fn text_that_is_not_toml_is_rejected() {
    for text in [
        "node_id = ",
        "[limits",
        "\u{0}",
        "node_id = \"a\"\nnode_id = \"b\"",
    ] {
        assert!(!faulty_keys(text).is_empty());
    }
}

#[test]
fn a_file_truncated_anywhere_is_read_or_rejected_without_a_panic() {
    arbtest::arbtest(|source| {
        let length = source.int_in_range(0..=VALID.len())?;
        let _ = VALID[..length].parse::<Settings>();
        Ok(())
    });
}

#[test]
fn any_text_is_read_or_rejected_without_a_panic() {
    arbtest::arbtest(|source| {
        let line: String = source.arbitrary()?;
        let _ = format!("{VALID}\n{line}").parse::<Settings>();
        let _ = line.parse::<Settings>();
        Ok(())
    });
}

#[test]
fn a_missing_file_is_named() {
    let path = Path::new("/nowhere/settings.toml");
    let error = Settings::read(path).expect_err("the file does not exist");
    assert!(matches!(error, SettingsError::Read { .. }));
    assert!(error.to_string().contains("/nowhere/settings.toml"));
}

#[test]
fn a_file_is_read_from_disk_and_an_oversized_one_is_rejected() {
    let mut file = tempfile::NamedTempFile::new().expect("creates a temporary file");
    file.write_all(VALID.as_bytes()).expect("writes the file");
    assert_eq!(
        Settings::read(file.path()).expect("valid"),
        VALID.parse().expect("valid")
    );
    file.write_all(&vec![b'#'; MAX_FILE_BYTES as usize])
        .expect("writes the file");
    assert!(matches!(
        Settings::read(file.path()),
        Err(SettingsError::Read { .. })
    ));
}

#[test]
fn seed_addresses_that_are_not_a_machine_address_are_named() {
    for seed in [
        "0.0.0.0:9001",
        "127.0.0.1:0",
        "224.0.0.1:9001",
        "255.255.255.255:9001",
    ] {
        let text = with_line("seed_nodes", &format!("seed_nodes = [\"{seed}\"]"));
        assert_eq!(faulty_keys(&text), ["seed_nodes"], "{seed}");
    }
}

#[test]
fn a_bind_address_that_is_not_a_machine_address_is_named() {
    let text = with_line("ip", "ip = \"127.0.0.7\"\nbind_ip = \"0.0.0.0\"");
    assert_eq!(faulty_keys(&text), ["bind_ip"]);
}
