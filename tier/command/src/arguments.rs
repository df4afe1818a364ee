//! Parsing of the command line.

mod draining;

use std::ffi::OsString;
use std::path::PathBuf;

use lexopt::{Arg, Parser, ValueExt};
use thiserror::Error;

use draining::{parse_drain, parse_rolling_restart};
pub use draining::{DrainAction, DrainArguments, RollingRestartArguments};

/// Default number of programs of the demo: enough that some are running at both kills.
const DEFAULT_DEMO_PROGRAMS: u32 = 40;

/// Maximum number of programs of the demo; with more, the demo would take over a minute.
const MAX_DEMO_PROGRAMS: u32 = 200;

/// A parsed command line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Print the help text.
    Help,
    /// Print the version.
    Version,
    /// Run a role until it is stopped.
    Run {
        /// The role to run.
        role: Role,
        /// Format of the log lines.
        log_format: LogFormat,
    },
    /// Check a settings file.
    CheckSettings {
        /// The file to check.
        file: PathBuf,
    },
    /// Check an operator's configuration file.
    CheckConfiguration {
        /// The file to check.
        file: PathBuf,
    },
    /// Run a small tier on loopback addresses.
    Demo {
        /// Number of programs that clients run through it.
        programs: u32,
    },
    /// Take forwarders out of service, or put them back into service.
    Drain(DrainArguments),
    /// Show which forwarders are out of service.
    Drains {
        /// Address of the controller, as `IP:PORT`.
        address: String,
        /// Format of the answer on standard output.
        format: OutputFormat,
    },
    /// Restart forwarders a few at a time, each out of service while it restarts.
    RollingRestart(RollingRestartArguments),
    /// Ask a controller for its status.
    Status {
        /// Address of the controller, as `IP:PORT`.
        address: String,
        /// Format of the answer on standard output.
        format: OutputFormat,
    },
}

/// A role of the serving tier.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Stores the control state.
    Controller,
    /// Connects one machine's proxy to the control plane.
    Agent,
    /// Forwards requests from clients to targets.
    Proxy,
    /// Stores conversation turns and budgets.
    Store,
}

/// Format in which a controller's answer is printed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum OutputFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// JSON, as received.
    Json,
}

/// Format of the log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// One line of text per event.
    #[default]
    Text,
    /// One JSON object per event.
    Json,
}

/// The command line cannot be parsed.
#[derive(Debug, Error)]
pub enum UsageError {
    /// An option is unknown, lacks its value or has an unexpected one.
    #[error("{0}")]
    Option(#[from] lexopt::Error),
    /// The command is missing.
    #[error("no command given")]
    MissingCommand,
    /// The command is unknown.
    #[error("unknown command {0:?}")]
    UnknownCommand(String),
    /// A required argument is missing.
    #[error("{command} requires {what}")]
    MissingArgument {
        /// The command.
        command: &'static str,
        /// Description of the missing argument.
        what: &'static str,
    },
    /// `check` does not support this kind of file.
    #[error("check accepts settings or configuration, not {0:?}")]
    UnknownKind(String),
    /// The number of programs is not a number, or is out of range.
    #[error("--programs must be a number from 1 to {MAX_DEMO_PROGRAMS}, not {0:?}")]
    InvalidProgramCount(String),
    /// The option's value is not a number of at least 1.
    #[error("{option} must be a number of at least 1, not {text:?}")]
    InvalidCount {
        /// The option.
        option: &'static str,
        /// Its value.
        text: String,
    },
    /// The log format is unknown.
    #[error("--log-format must be text or json, not {0:?}")]
    UnknownLogFormat(String),
}

impl Command {
    /// Parses the arguments that follow the program's name.
    ///
    /// # Errors
    /// [`UsageError`] if the arguments are not a valid command line.
    pub fn parse(arguments: impl IntoIterator<Item = OsString>) -> Result<Command, UsageError> {
        let mut parser = Parser::from_args(arguments);
        let name = match parser.next()? {
            None => return Err(UsageError::MissingCommand),
            Some(Arg::Short('h') | Arg::Long("help")) => return Ok(Command::Help),
            Some(Arg::Short('V') | Arg::Long("version")) => return Ok(Command::Version),
            Some(Arg::Value(name)) => name.string()?,
            Some(other) => return Err(other.unexpected().into()),
        };
        match name.as_str() {
            "controller" => parse_role(parser, Role::Controller),
            "agent" => parse_role(parser, Role::Agent),
            "proxy" => parse_role(parser, Role::Proxy),
            "store" => parse_role(parser, Role::Store),
            "check" => parse_check(parser),
            "drain" => parse_drain(parser, DrainAction::Drain),
            "undrain" => parse_drain(parser, DrainAction::Undrain),
            "drains" => parse_query(parser, "drains", |address, format| Command::Drains {
                address,
                format,
            }),
            "roll" => parse_rolling_restart(parser),
            "status" => parse_query(parser, "status", |address, format| Command::Status {
                address,
                format,
            }),
            "demo" => parse_demo(parser),
            _ => Err(UsageError::UnknownCommand(name)),
        }
    }
}

fn parse_role(mut parser: Parser, role: Role) -> Result<Command, UsageError> {
    let mut log_format = LogFormat::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(Command::Help),
            Arg::Long("log-format") => log_format = parse_log_format(parser.value()?.string()?)?,
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Command::Run { role, log_format })
}

fn parse_log_format(name: String) -> Result<LogFormat, UsageError> {
    match name.as_str() {
        "text" => Ok(LogFormat::Text),
        "json" => Ok(LogFormat::Json),
        _ => Err(UsageError::UnknownLogFormat(name)),
    }
}

fn parse_check(mut parser: Parser) -> Result<Command, UsageError> {
    let mut values = Vec::new();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(Command::Help),
            Arg::Value(value) if values.len() < 2 => values.push(value),
            other => return Err(other.unexpected().into()),
        }
    }
    let mut values = values.into_iter();
    let kind = values
        .next()
        .ok_or(missing("check", "settings or configuration"))?
        .string()?;
    let file = values.next().map(PathBuf::from);
    let file = || file.ok_or(missing("check", "a file"));
    match kind.as_str() {
        "settings" => Ok(Command::CheckSettings { file: file()? }),
        "configuration" => Ok(Command::CheckConfiguration { file: file()? }),
        _ => Err(UsageError::UnknownKind(kind)),
    }
}

/// Parses `ADDRESS [--json]`, the arguments of the command `name`, which queries a controller;
/// `command` creates the command from them.
fn parse_query(
    mut parser: Parser,
    name: &'static str,
    command: impl FnOnce(String, OutputFormat) -> Command,
) -> Result<Command, UsageError> {
    let mut address = None;
    let mut format = OutputFormat::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(Command::Help),
            Arg::Long("json") => format = OutputFormat::Json,
            Arg::Value(value) if address.is_none() => address = Some(value.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    let address = address.ok_or(missing(name, "the address of a controller"))?;
    Ok(command(address, format))
}

fn parse_demo(mut parser: Parser) -> Result<Command, UsageError> {
    let mut programs = DEFAULT_DEMO_PROGRAMS;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(Command::Help),
            Arg::Long("programs") => programs = parse_programs(parser.value()?.string()?)?,
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Command::Demo { programs })
}

fn parse_programs(text: String) -> Result<u32, UsageError> {
    match text.parse() {
        Ok(programs) if (1..=MAX_DEMO_PROGRAMS).contains(&programs) => Ok(programs),
        _ => Err(UsageError::InvalidProgramCount(text)),
    }
}

fn missing(command: &'static str, what: &'static str) -> UsageError {
    UsageError::MissingArgument { command, what }
}
