//! Parsing of the command line.

use std::ffi::OsString;

use std::time::Duration;

use plankhill_tier::{
    Command, DrainAction, DrainArguments, LogFormat, OutputFormat, Role, RollingRestartArguments,
    UsageError,
};

fn parse(line: &str) -> Result<Command, UsageError> {
    Command::parse(line.split_whitespace().map(OsString::from))
}

fn parsed(line: &str) -> Command {
    parse(line).unwrap_or_else(|error| panic!("{line}: {error}"))
}

#[test]
fn each_role_is_started_by_its_name() {
    let roles = [
        ("controller", Role::Controller),
        ("agent", Role::Agent),
        ("proxy", Role::Proxy),
        ("store", Role::Store),
    ];
    for (name, role) in roles {
        assert_eq!(
            parsed(name),
            Command::Run {
                role,
                log_format: LogFormat::Text
            }
        );
    }
}

#[test]
fn the_log_format_is_parsed() {
    for line in ["proxy --log-format json", "proxy --log-format=json"] {
        assert_eq!(
            parsed(line),
            Command::Run {
                role: Role::Proxy,
                log_format: LogFormat::Json
            }
        );
    }
    let text = parsed("proxy --log-format text");
    assert_eq!(
        text,
        Command::Run {
            role: Role::Proxy,
            log_format: LogFormat::Text
        }
    );
}

#[test]
fn files_are_checked_by_kind() {
    assert_eq!(
        parsed("check settings a.toml"),
        Command::CheckSettings {
            file: "a.toml".into()
        }
    );
    let configuration = parsed("check configuration a.json");
    assert_eq!(
        configuration,
        Command::CheckConfiguration {
            file: "a.json".into()
        }
    );
}

#[test]
fn status_takes_an_address_and_optionally_json() {
    let address = "127.0.0.1:9001".to_owned();
    assert_eq!(
        parsed("status 127.0.0.1:9001"),
        Command::Status {
            address: address.clone(),
            format: OutputFormat::Text
        }
    );
    assert_eq!(
        parsed("status --json 127.0.0.1:9001"),
        Command::Status {
            address,
            format: OutputFormat::Json
        }
    );
}

#[test]
fn drain_orders_name_machines_or_a_zone() {
    let order = |action, nodes: &[&str], zone: Option<&str>| {
        Command::Drain(DrainArguments {
            address: "127.0.0.1:9001".to_owned(),
            action,
            nodes: nodes.iter().map(ToString::to_string).collect(),
            zone: zone.map(str::to_owned),
        })
    };
    assert_eq!(
        parsed("drain 127.0.0.1:9001 a b"),
        order(DrainAction::Drain, &["a", "b"], None)
    );
    assert_eq!(
        parsed("undrain 127.0.0.1:9001 --zone z a"),
        order(DrainAction::Undrain, &["a"], Some("z"))
    );
    assert!(parse("drain 127.0.0.1:9001").is_err_and(|error| error.to_string().contains("--zone")));
    assert!(parse("drain").is_err_and(|error| error.to_string().contains("address")));
}

#[test]
fn a_rolling_restart_has_limits() {
    let roll = |nodes: &[&str], max_unavailable, drain: u64, restart: u64| {
        Command::RollingRestart(RollingRestartArguments {
            address: "127.0.0.1:9001".to_owned(),
            nodes: nodes.iter().map(ToString::to_string).collect(),
            max_unavailable,
            drain_timeout: Duration::from_secs(drain),
            restart_timeout: Duration::from_secs(restart),
        })
    };
    assert_eq!(parsed("roll 127.0.0.1:9001"), roll(&[], 1, 120, 600));
    let line = "roll 127.0.0.1:9001 a --most 4 --empty-within 30 --back-within 60 b";
    assert_eq!(parsed(line), roll(&["a", "b"], 4, 30, 60));
    assert!(parse("roll 127.0.0.1:9001 --most 0")
        .is_err_and(|error| error.to_string().contains("--most")));
}

#[test]
fn the_demo_takes_a_number_of_programs() {
    assert_eq!(parsed("demo"), Command::Demo { programs: 40 });
    assert_eq!(parsed("demo --programs 7"), Command::Demo { programs: 7 });
}

#[test]
fn help_is_accepted_by_every_command_and_version_at_the_top_level() {
    for line in ["--help", "-h", "proxy --help", "check -h", "status --help"] {
        assert_eq!(parsed(line), Command::Help, "{line}");
    }
    for line in ["--version", "-V"] {
        assert_eq!(parsed(line), Command::Version, "{line}");
    }
}

#[test]
fn errors_name_the_invalid_argument() {
    let cases = [
        ("", "no command"),
        ("serve", "serve"),
        ("proxy now", "now"),
        ("proxy --colour", "--colour"),
        ("proxy --log-format", "--log-format"),
        ("proxy --log-format xml", "xml"),
        ("check", "settings or configuration"),
        ("check settings", "a file"),
        ("check everything a.toml", "everything"),
        ("check settings a.toml b.toml", "b.toml"),
        ("status", "address"),
        ("status 127.0.0.1:1 127.0.0.1:2", "127.0.0.1:2"),
        ("demo --programs 0", "\"0\""),
        ("demo --programs many", "many"),
        ("demo --programs 1000", "1000"),
        ("--quick", "--quick"),
    ];
    for (line, named) in cases {
        let message = parse(line).expect_err(line).to_string();
        assert!(message.contains(named), "{line}: {message}");
    }
}
